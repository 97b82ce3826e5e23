"""Rejects or restricts, at the entry, requests during which servers crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct, structs

from wagtaildale.calls.owner.suspect_trials import build_suspect_rejection
from wagtaildale.errors.codes import Code
from wagtaildale.routing.candidates import is_known_to_leave
from wagtaildale.routing.placement import ChosenUpstream
from wagtaildale.routing.suspected_requests import list_allowed_upstreams
from wagtaildale.suspects.fingerprints import (
    Fingerprint,
    FingerprintInput,
    compute_fingerprint,
)
from wagtaildale.suspects.records import (
    GONE_SECONDS,
    HARMFUL_ENDS,
    MAX_RETRY_AFTER_SECONDS,
    Standing,
    find_trial_delay,
)
from wagtaildale.suspects.snapshots import Judgement
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.entry.attempts import Attempts
    from wagtaildale.calls.entry.outgoing_request import OutgoingRequest
    from wagtaildale.calls.entry.routed_call import EntryParts, RoutedCall
    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.routing.statistics import FleetStatistics
    from wagtaildale.routing.view import FleetView
    from wagtaildale.types import InstanceId

# Retry delay for callers while a crashed server restarts; it rarely restarts
# sooner.
RESTART_RETRY_SECONDS: Final = 1.0


class Suspect(Struct, frozen=True, kw_only=True):
    """A suspected request, which may run only at certain servers.

    Attributes:
        fingerprint: fingerprint of the request.
        judgement: decision whether and where the request may run.
    """

    fingerprint: Fingerprint
    judgement: Judgement


def find_suspect(
    parts: EntryParts,
    routed: RoutedCall,
    request: OutgoingRequest,
    attempts: Attempts,
) -> Suspect | None:
    """Find out whether a request is suspected; reject it if it may not run.

    Args:
        parts: components of the node that the entry uses.
        routed: the call with its route and class.
        request: request to be sent.
        attempts: attempts of the call; ``crash_count`` is updated from the
            crashes that this node knows of.

    Returns:
        The suspected request if it may run only at certain servers,
        otherwise ``None``.

    Raises:
        CallFailed: if the request may not run now, with outcome ``not_run``.
    """
    if not parts.suspects.current.records and not attempts.crash_count:
        return None
    fingerprint = compute_fingerprint(
        FingerprintInput(
            work_class=routed.match.work_class.name,
            method=request.method,
            target=request.target,
            body=request.body.peek(),
        ),
        headers=request.headers,
        caller_field=parts.dialect.caller_service,
    )
    judgement = parts.suspects.judge(
        fingerprint, reported_ends=attempts.crash_count
    )
    attempts.crash_count = judgement.ends
    if judgement.standing is Standing.harmful:
        raise build_suspect_rejection(
            Code.request_harmful,
            fingerprint,
            crash_count=judgement.ends,
            wait_seconds=judgement.wait_seconds,
        )
    if judgement.standing is Standing.trial or judgement.is_confined:
        return Suspect(fingerprint=fingerprint, judgement=judgement)
    return None


def place_suspect(
    view: FleetView,
    routed: RoutedCall,
    attempts: Attempts,
    *,
    suspect: Suspect,
    statistics: FleetStatistics,
) -> ChosenUpstream | None:
    """Choose the upstream for an attempt of a suspected request.

    Args:
        view: snapshot of configuration and instance list for the call.
        routed: the call with its route and class.
        attempts: previous attempts.
        suspect: the suspected request.
        statistics: statistics of all upstreams.

    Returns:
        The upstream; ``None`` if the request may run at any server, because
        no server that crashed during it is listed and the last crash was
        reported some seconds ago (``GONE_SECONDS``).

    Raises:
        CallFailed: if no untried upstream may run the request now.
    """
    judgement = suspect.judgement
    if not judgement.nodes and attempts.tried:
        # This call has seen the crash, but the report of it has not reached
        # this node yet.
        judgement = structs.replace(
            judgement,
            nodes=_find_last_node(view, attempts),
        )
    allowed = list_allowed_upstreams(
        view,
        routed.service,
        fingerprint=suspect.fingerprint,
        judgement=judgement,
    )
    if not allowed and judgement.age_seconds >= GONE_SECONDS:
        return None
    now = read_clock()
    untried = [
        record
        for record in allowed
        if record.instance not in attempts.tried
        and not is_known_to_leave(
            record, leaving_servers=statistics.leaving_servers
        )
    ]
    up = [
        record
        for record in untried
        if not statistics.down_servers.is_down(record.instance, now=now)
    ]
    if not untried:
        raise build_suspect_rejection(
            Code.request_on_trial,
            suspect.fingerprint,
            crash_count=attempts.crash_count,
            wait_seconds=RESTART_RETRY_SECONDS,
        )
    return ChosenUpstream(record=(up or untried)[0], is_only_candidate=True)


def _find_last_node(
    view: FleetView,
    attempts: Attempts,
) -> tuple[InstanceId, ...]:
    record = view.records.get(attempts.tried[-1])
    return () if record is None else (record.node_id,)


def mark_harmful(failure: CallFailed, attempts: Attempts) -> None:
    """Change the result code to harmful for a request that crashes servers.

    Also sets a retry delay.

    If the caller were told only that its server crashed, it would retry at
    once and crash the next one.

    Args:
        failure: failure that the call ends with; changed in place.
        attempts: attempts of the call.
    """
    may_have_crashed_server = failure.code in {
        Code.backend_ended,
        Code.outcome_unknown,
    }
    if may_have_crashed_server and attempts.crash_count >= HARMFUL_ENDS:
        failure.code = Code.request_harmful
        failure.retry_after = min(
            find_trial_delay(attempts.crash_count), MAX_RETRY_AFTER_SECONDS
        )
