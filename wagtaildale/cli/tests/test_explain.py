"""Tests of ``wagtaildale explain`` on logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from click.testing import CliRunner

from wagtaildale.cli.main import main

if TYPE_CHECKING:
    from pathlib import Path

LOG_TEXT = """\
at_ms=900 node=b incarnation=1 kind=instances-applied version=12
at_ms=1020 node=b incarnation=1 kind=run-refused request=r1 code=4009 running=9
at_ms=1021 node=a incarnation=1 kind=call-refused request=r1 code=4009 version=7
Traceback (most recent call last):
at_ms=1022 node=a inc
"""


EXPECTED_OUTPUT = """what the nodes had last learned:
    -120 ms  b instances-applied version=12
decisions:
      +0 ms  b run-refused code=4009 r1 running=9
      +1 ms  a call-refused code=4009 version=7 r1
end: call-refused, 4009 overloaded: no slot in time
cause: 4009 overloaded: no slot in time
  b run-refused code=4009 r1 running=9
passed over: 1 torn lines
passed over: 1 lines of other programs
"""


def test_history_of_a_refused_request(tmp_path: Path) -> None:
    path = tmp_path / 'fleet.log'
    path.write_text(LOG_TEXT)
    outcome = CliRunner().invoke(main, ['explain', 'r1', str(path)])
    assert outcome.exit_code == 0, outcome.output
    assert outcome.output == EXPECTED_OUTPUT


LINE_LOG_TEXT = """\
at_ms=1021 node=a incarnation=1 kind=call-refused request=r1 code=4009 \
version=7 detail="no outgoing line of service maps can carry the response"
"""
LINE_OUTPUT = """what the nodes had last learned:
decisions:
      +0 ms  a call-refused code=4009 version=7 r1 no outgoing line of service \
maps can carry the response
end: call-refused, 4009 overloaded: no slot in time
cause: 4009, the outgoing line, not the slots
  a call-refused code=4009 version=7 r1 no outgoing line of service maps can \
carry the response
"""


def test_refusal_for_the_outgoing_line_names_it(tmp_path: Path) -> None:
    """The meaning of the code alone tells of slots, which are free."""
    path = tmp_path / 'fleet.log'
    path.write_text(LINE_LOG_TEXT)
    outcome = CliRunner().invoke(main, ['explain', 'r1', str(path)])
    assert outcome.output == LINE_OUTPUT


def test_request_that_is_in_no_log(tmp_path: Path) -> None:
    path = tmp_path / 'fleet.log'
    path.write_text(LOG_TEXT)
    outcome = CliRunner().invoke(main, ['explain', 'r2', str(path)])
    assert outcome.exit_code == 1
    assert 'no line names request r2' in outcome.output


def test_method_requires_a_node() -> None:
    outcome = CliRunner().invoke(main, ['explain', 'GET', '/files/7'])
    assert outcome.exit_code == 2
    assert 'expected the node to ask' in outcome.output
