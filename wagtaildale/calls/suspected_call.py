"""Handles requests at the entry that servers have crashed under."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct, structs

from wagtaildale.calls.suspect_trials import build_suspect_refusal
from wagtaildale.errors.codes import Code
from wagtaildale.routing.placement import ChosenUpstream
from wagtaildale.routing.suspected_requests import list_allowed_upstreams
from wagtaildale.suspects.snapshots import Judgement
from wagtaildale.suspects.fingerprints import (
    FingerprintInput,
    Fingerprint,
    compute_fingerprint,
)
from wagtaildale.suspects.records import (
    GONE_SECONDS,
    HARMFUL_ENDS,
    MAX_RETRY_AFTER_SECONDS,
    Standing,
    find_trial_delay,
)
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.calls.attempt import OutgoingRequest
    from wagtaildale.calls.attempts import Attempts
    from wagtaildale.calls.routed_call import EntryParts, RoutedCall
    from wagtaildale.routing.statistics import FleetStatistics
    from wagtaildale.routing.view import FleetView
    from wagtaildale.types import InstanceId

# A crashed server rarely restarts sooner.
RESTART_SECONDS: Final = 1.0


class Suspect(Struct, frozen=True, kw_only=True):
    """A suspected request, which may run only at certain servers.

    Attributes:
        fingerprint: fingerprint of the request.
        judgement: decision whether and where the request may run.
    """

    fingerprint: Fingerprint
    judgement: Judgement


def check_suspect(
    parts: EntryParts,
    routed: RoutedCall,
    request: OutgoingRequest,
    attempts: Attempts,
) -> Suspect | None:
    """Check whether a request may be sent, and whether to any server.

    Args:
        parts: components of the node that the entry uses.
        routed: the call with its route and class.
        request: request to be sent.
        attempts: attempts of the call; ``ends`` is updated from the crashes
            that this node knows of.

    Returns:
        The suspected request if it may run only at certain servers,
        otherwise ``None``.

    Raises:
        CallFailed: if the request may not run now, with outcome ``not_run``.
    """
    if not parts.suspects.current.records and not attempts.ends:
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
    judgement = parts.suspects.judge(fingerprint, reported_ends=attempts.ends)
    attempts.ends = judgement.ends
    if judgement.standing is Standing.harmful:
        raise build_suspect_refusal(
            Code.request_harmful,
            fingerprint,
            ends=judgement.ends,
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
        the servers that crashed under it are no longer listed.

    Raises:
        CallFailed: if all upstreams that may run the request were tried.
    """
    judgement = suspect.judgement
    if not judgement.nodes and attempts.tried:
        # This call has seen the crash, but the report of it has not reached
        # this node yet.
        judgement = structs.replace(
            judgement,
            nodes=_find_last_node(view, attempts),
        )
    places = list_allowed_upstreams(
        view,
        routed.service,
        fingerprint=suspect.fingerprint,
        judgement=judgement,
    )
    if not places and judgement.age_seconds >= GONE_SECONDS:
        return None
    now = read_clock()
    untried = [
        place
        for place in places
        if place.instance not in attempts.tried
        and not statistics.leaving_servers.is_leaving(place)
    ]
    up = [
        place
        for place in untried
        if not statistics.down_servers.is_down(place.instance, now=now)
    ]
    if not untried:
        raise build_suspect_refusal(
            Code.request_on_trial,
            suspect.fingerprint,
            ends=attempts.ends,
            wait_seconds=RESTART_SECONDS,
        )
    return ChosenUpstream(record=(up or untried)[0], is_only_candidate=True)


def _find_last_node(
    view: FleetView,
    attempts: Attempts,
) -> tuple[InstanceId, ...]:
    record = view.records.get(attempts.tried[-1])
    return () if record is None else (record.node_id,)


def mark_harmful(failure: CallFailed, attempts: Attempts) -> None:
    """Report a request that crashes servers as harmful, with a retry delay.

    If the caller were told only that its server crashed, it would retry at
    once and crash the next one.

    Args:
        failure: failure that the call ends with; changed in place.
        attempts: attempts of the call.
    """
    has_crashed = failure.code in {Code.backend_ended, Code.outcome_unknown}
    if has_crashed and attempts.ends >= HARMFUL_ENDS:
        failure.code = Code.request_harmful
        failure.retry_after = min(
            find_trial_delay(attempts.ends), MAX_RETRY_AFTER_SECONDS
        )
