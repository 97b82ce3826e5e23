"""What an entry does with a request under which servers have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.calls.trials import refuse_suspect
from wagtaildale.errors.codes import Code
from wagtaildale.routing.placement import Placed
from wagtaildale.routing.trials import list_places
from wagtaildale.suspects.fingerprints import (
    Asked,
    Fingerprint,
    take_fingerprint,
)
from wagtaildale.suspects.records import (
    HARMFUL_ENDS,
    LONGEST_REST_SECONDS,
    Standing,
    find_rest,
)

if TYPE_CHECKING:
    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.calls.attempt import RequestParts
    from wagtaildale.calls.attempts import Attempts
    from wagtaildale.calls.routed import EntryParts, Routed
    from wagtaildale.routing.leavers import Leavers
    from wagtaildale.routing.view import FleetView


def review_suspect(
    parts: EntryParts,
    routed: Routed,
    request: RequestParts,
    attempts: Attempts,
) -> Fingerprint | None:
    """Review whether a request may be sent on, and whether to any server.

    Args:
        parts: of the node.
        routed: its call.
        request: that is to be sent.
        attempts: of its call; learn what this node knows of it.

    Returns:
        Its fingerprint if it is to run alone.

    Raises:
        CallFailed: when it is not to run, with outcome ``not_run``.
    """
    if not parts.suspects.current.records and not attempts.ends:
        return None
    fingerprint = take_fingerprint(
        Asked(
            work_class=routed.match.work_class.name,
            method=request.method,
            target=request.target,
            body=request.body.peek(),
        ),
        headers=request.headers,
        caller_field=parts.dialect.caller_service,
    )
    judgement = parts.suspects.judge(fingerprint, told=attempts.ends)
    attempts.ends = judgement.ends
    if judgement.standing is Standing.harmful:
        raise refuse_suspect(
            Code.request_harmful,
            fingerprint,
            ends=judgement.ends,
            wait_seconds=judgement.wait_seconds,
        )
    return fingerprint if judgement.standing is Standing.trial else None


def place_trial(
    view: FleetView,
    routed: Routed,
    attempts: Attempts,
    *,
    fingerprint: Fingerprint,
    leavers: Leavers,
) -> Placed:
    """Place an attempt of a request that is to run alone.

    Args:
        view: the snapshot that the call goes by.
        routed: the call.
        attempts: those before.
        fingerprint: of the request.
        leavers: servers that have said that they leave.

    Returns:
        Where it goes.

    Raises:
        CallFailed: when it was refused wherever it may be tried.
    """
    places = list_places(
        view,
        routed.service,
        fingerprint=fingerprint,
        ends=attempts.ends,
    )
    untried = (
        place
        for place in places
        if place.instance not in attempts.tried and not leavers.has(place)
    )
    place = next(untried, None)
    if place is None:
        raise refuse_suspect(
            Code.request_on_trial,
            fingerprint,
            ends=attempts.ends,
        )
    return Placed(record=place, is_only=True)


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
            find_rest(attempts.ends), LONGEST_REST_SECONDS
        )
