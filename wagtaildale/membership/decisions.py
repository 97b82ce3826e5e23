"""Decides on news of the fleet: merge, suspect, refute, pass on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct, structs

from wagtaildale.membership.news import AWAY_STATES, News, is_newer
from wagtaildale.membership.state import (
    MembershipState,
    MissedReplies,
    NewsEntry,
)
from wagtaildale.types import Incarnation, InstanceId, NodeState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtaildale.membership.records import InstanceRecord

MISSES_TO_SUSPECT: Final = 2
# Between two misses of one peer; digests go out once a second.
MISS_INTERVAL_SECONDS: Final = 0.75
SUSPECT_SECONDS: Final = 6.0
NEWS_PER_MESSAGE: Final = 16


class NewsTaken(Struct, frozen=True, kw_only=True):
    """News that changed the view of the fleet.

    Attributes:
        news: what is held now.
        before: the state held until now, if any.
    """

    news: News
    before: NodeState | None


def merge_news(
    state: MembershipState,
    *,
    received: Iterable[News],
    now: float,
) -> list[NewsTaken]:
    """Merge what another node said.

    Failure guarded here: a node is called dead that only was slow, shown by
    its neighbours sending it nothing more. When it hears so of itself it
    raises its sequence, which outranks every suspicion of before. A leaving
    node does not refute: that state is final for its incarnation.

    Args:
        state: the fleet; moved forward in place.
        received: news from a peer.
        now: current time, in seconds.

    Returns:
        What changed.
    """
    taken: list[NewsTaken] = []
    for news in received:
        if news.instance == state.own.instance:
            _refute_own(state, news)
            continue
        known = state.find_news(news.instance)
        if is_newer(news, than=known):
            _store_news(
                state,
                news,
                now,
                is_worth_sending=_is_worth_sending(news, known),
            )
            before = known.state if known else None
            taken.append(NewsTaken(news=news, before=before))
    return taken


def note_missed_reply(
    state: MembershipState,
    *,
    peer: InstanceId,
    now: float,
) -> list[NewsTaken]:
    """Note that a peer did not reply to a digest or a push.

    Args:
        state: the fleet; moved forward in place.
        peer: who did not reply.
        now: current time, in seconds.

    Returns:
        The suspicion, once enough replies are missing.
    """
    misses = state.missed.setdefault(peer, MissedReplies())
    # Failure: several messages go out together, the answers to all of them
    # are late together, and a working node is suspected for one delay.
    if now - misses.noted_at < MISS_INTERVAL_SECONDS:
        return []
    misses.count += 1
    misses.noted_at = now
    if misses.count < MISSES_TO_SUSPECT:
        return []
    unknown = News(peer, Incarnation(0), 0, NodeState.ready)
    base = state.find_news(peer) or unknown
    if base.state in AWAY_STATES:
        return []
    suspicion = structs.replace(base, state=NodeState.suspect)
    return merge_news(state, received=(suspicion,), now=now)


def note_heard(state: MembershipState, *, peer: InstanceId) -> None:
    """Note that a peer has sent something: it is there.

    Failure guarded here: two replies that are late minutes apart make a
    working node a suspect. Only those in a row count.

    Args:
        state: the fleet; moved forward in place.
        peer: who sent it.
    """
    state.missed.pop(peer, None)


def expire_suspects(
    state: MembershipState,
    *,
    now: float,
) -> list[NewsTaken]:
    """Call dead whoever stayed suspect, and forget whom the list dropped.

    Args:
        state: the fleet; moved forward in place.
        now: current time, in seconds.

    Returns:
        What changed.
    """
    due = [
        structs.replace(suspect.news, state=NodeState.dead)
        for suspect in state.entries.values()
        if suspect.news.state is NodeState.suspect
        and now - suspect.since > SUSPECT_SECONDS
    ]
    _forget_unlisted(state, now)
    return merge_news(state, received=due, now=now)


def replace_records(
    state: MembershipState,
    *,
    records: dict[InstanceId, InstanceRecord],
) -> None:
    """Take the platform's list as it is now.

    Args:
        state: the fleet; moved forward in place.
        records: by instance.
    """
    state.records = records
    state.cached_topology = None


def pick_news(
    state: MembershipState,
    *,
    to: InstanceId,
) -> tuple[News, ...]:
    """Pick news to send along with a message, the freshest first.

    What is held against the receiver itself always goes along, so that it
    can refute it.

    Args:
        state: the fleet; counts what is sent.
        to: the receiver.

    Returns:
        This node's own news, then some of others.
    """
    fresh = [
        entry for entry in state.entries.values() if entry.retransmits_left > 0
    ]
    fresh.sort(key=_read_retransmits_left, reverse=True)
    chosen = fresh[:NEWS_PER_MESSAGE]
    for passed_on in chosen:
        passed_on.retransmits_left -= 1
    held = state.find_news(to)
    to_refute = [held] if held and held.state in AWAY_STATES else []
    others = dict.fromkeys((*to_refute, *(entry.news for entry in chosen)))
    return (state.build_own_news(), *others)


def _read_retransmits_left(entry: NewsEntry) -> int:
    return entry.retransmits_left


def _refute_own(state: MembershipState, news: News) -> None:
    own = state.build_own_news()
    if is_newer(news, than=own) and state.state is not NodeState.leaving:
        state.incarnation = Incarnation(max(own.incarnation, news.incarnation))
        state.sequence = news.sequence + 1


def _is_worth_sending(news: News, known: News | None) -> bool:
    # That a listed node works is what everybody assumes: to pass on news of
    # that kind would cost each start of the fleet a message for each pair.
    if news.state in AWAY_STATES:
        return True
    return known is not None and known.state in AWAY_STATES


def _store_news(
    state: MembershipState,
    news: News,
    now: float,
    *,
    is_worth_sending: bool,
) -> None:
    state.entries[news.instance] = NewsEntry(
        news=news,
        since=now,
        retransmits_left=state.compute_retransmits() if is_worth_sending else 0,
    )
    if news.state not in AWAY_STATES:
        state.missed.pop(news.instance, None)
    if is_worth_sending:
        state.cached_topology = None


def _forget_unlisted(state: MembershipState, now: float) -> None:
    forgotten = [
        name
        for name, entry in state.entries.items()
        if name not in state.records
        and now - entry.since > SUSPECT_SECONDS * SUSPECT_SECONDS
    ]
    for name in forgotten:
        state.entries.pop(name)
        state.missed.pop(name, None)
