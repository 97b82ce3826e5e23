"""Tests of the counts of calls."""

from __future__ import annotations

from wagtaildale.telemetry.tallies import ClassTally, Tallies


def test_attempts_of_all_workers_are_summed_by_reason() -> None:
    own = Tallies()
    tally = own.find('casefiles/file')
    tally.add(ClassTally(retried=1, redirected=2, hedged=3))
    tally.add(ClassTally(retried=1, redirected=1, hedged=1))
    total = own.sum_up()['casefiles/file']
    assert (total.retried, total.redirected, total.hedged) == (2, 3, 4)
