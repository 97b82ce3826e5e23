"""What an entry does with a request under which servers have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct, structs

from wagtaildale.calls.trials import refuse_suspect
from wagtaildale.errors.codes import Code
from wagtaildale.routing.placement import Placed
from wagtaildale.routing.trials import list_places
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
    from wagtaildale.calls.attempt import RequestParts
    from wagtaildale.calls.attempts import Attempts
    from wagtaildale.calls.routed import EntryParts, Routed
    from wagtaildale.routing.statistics import FleetStatistics
    from wagtaildale.routing.view import FleetView
    from wagtaildale.types import InstanceId

# A server that has ended is seldom back sooner.
RETURN_SECONDS: Final = 1.0


class Suspect(Struct, frozen=True, kw_only=True):
    """A request that may not run at any server.

    Attributes:
        fingerprint: of the request.
        judgement: what is known of it.
    """

    fingerprint: Fingerprint
    judgement: Judgement


def review_suspect(
    parts: EntryParts,
    routed: Routed,
    request: RequestParts,
    attempts: Attempts,
) -> Suspect | None:
    """Review whether a request may be sent on, and whether to any server.

    Args:
        parts: of the node.
        routed: its call.
        request: that is to be sent.
        attempts: of its call; learn what this node knows of it.

    Returns:
        The request if it may not run at any server.

    Raises:
        CallFailed: when it is not to run, with outcome ``not_run``.
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
        raise refuse_suspect(
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
    routed: Routed,
    attempts: Attempts,
    *,
    suspect: Suspect,
    statistics: FleetStatistics,
) -> Placed | None:
    """Place an attempt of a request that may not run at any server.

    Args:
        view: the snapshot that the call goes by.
        routed: the call.
        attempts: those before.
        suspect: the request.
        statistics: of all upstreams.

    Returns:
        Where it goes; nothing if it may run like others, since the servers
        that ended under it are gone.

    Raises:
        CallFailed: when it was refused wherever it may run.
    """
    judgement = suspect.judgement
    if not judgement.nodes and attempts.tried:
        # Word of the end is still on its way here; this call has seen it.
        judgement = structs.replace(
            judgement,
            nodes=_find_last_node(view, attempts),
        )
    places = list_places(
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
        and not statistics.leavers.has(place)
    ]
    up = [
        place
        for place in untried
        if not statistics.down.has(place.instance, now=now)
    ]
    if not untried:
        raise refuse_suspect(
            Code.request_on_trial,
            suspect.fingerprint,
            ends=attempts.ends,
            wait_seconds=RETURN_SECONDS,
        )
    return Placed(record=(up or untried)[0], is_only=True)


def _find_last_node(
    view: FleetView,
    attempts: Attempts,
) -> tuple[InstanceId, ...]:
    record = view.records.get(attempts.tried[-1])
    return () if record is None else (record.node_id,)


def name_harm(failure: CallFailed, attempts: Attempts) -> None:
    """Tell a caller whose request ends servers when to come back.

    Failure guarded here: the answer to such a request says that its server
    ended, and its caller sends it to the next one at once.

    Args:
        failure: that its call ends with; moved forward in place.
        attempts: of the call.
    """
    ended = failure.code in {Code.backend_ended, Code.outcome_unknown}
    if ended and attempts.ends >= HARMFUL_ENDS:
        failure.code = Code.request_harmful
        failure.retry_after = min(
            find_trial_delay(attempts.ends), MAX_RETRY_AFTER_SECONDS
        )
