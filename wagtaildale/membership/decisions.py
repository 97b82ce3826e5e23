"""Decides on gossip about nodes: merge, suspect, refute and pass on.

As in SWIM, a node that misses replies is suspected, and is declared dead
unless it refutes the suspicion in time.
"""

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
# Minimum time between two counted misses of a peer; digests go out once a
# second.
MISS_INTERVAL_SECONDS: Final = 0.75
# A suspected node that does not refute the suspicion in this time is declared
# dead.
SUSPICION_TIMEOUT_SECONDS: Final = 6.0
NEWS_PER_MESSAGE: Final = 16


class AcceptedNews(Struct, frozen=True, kw_only=True):
    """News that replaced older news of its node.

    Attributes:
        news: the new news.
        before: state of the node in the older news; nothing if there was none.
    """

    news: News
    before: NodeState | None


def merge_news(
    state: MembershipState,
    *,
    received: Iterable[News],
    now: float,
) -> list[AcceptedNews]:
    """Merge news from another node.

    A node that was only slow may be declared dead, and its neighbours then
    send it nothing more. When it receives such news of itself it raises its
    sequence number, which overrides all earlier suspicions. A leaving node
    does not refute, because that state is final for its incarnation.

    Args:
        state: membership of the fleet, updated in place.
        received: news from a peer.
        now: current time, in seconds.

    Returns:
        News that changed the view of the fleet.
    """
    accepted: list[AcceptedNews] = []
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
            accepted.append(AcceptedNews(news=news, before=before))
    return accepted


def note_missed_reply(
    state: MembershipState,
    *,
    peer: InstanceId,
    now: float,
) -> list[AcceptedNews]:
    """Note that a peer did not reply to a digest or a push.

    Args:
        state: membership of the fleet, updated in place.
        peer: id of the node that did not reply.
        now: current time, in seconds.

    Returns:
        The suspicion, once enough replies in a row are missing.
    """
    misses = state.missed.setdefault(peer, MissedReplies())
    # Replies to messages that are sent together are late together; without the
    # interval a single delay would make a working node a suspect.
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


def reset_missed_replies(state: MembershipState, *, peer: InstanceId) -> None:
    """Reset the missed replies of a peer that has sent a message.

    Only misses in a row count. Otherwise two replies that are late minutes
    apart would make a working node a suspect.

    Args:
        state: membership of the fleet, updated in place.
        peer: id of the node that sent the message.
    """
    state.missed.pop(peer, None)


def expire_news(
    state: MembershipState,
    *,
    now: float,
) -> list[AcceptedNews]:
    """Declare overdue suspects dead, and drop old news of unlisted nodes.

    News of a node that is not listed is dropped after 36 s, which is well after
    a suspected node has been declared dead.

    Args:
        state: membership of the fleet, updated in place.
        now: current time, in seconds.

    Returns:
        News that changed the view of the fleet.
    """
    due = [
        structs.replace(suspect.news, state=NodeState.dead)
        for suspect in state.news_entries.values()
        if suspect.news.state is NodeState.suspect
        and now - suspect.since > SUSPICION_TIMEOUT_SECONDS
    ]
    _forget_unlisted(state, now)
    return merge_news(state, received=due, now=now)


def replace_records(
    state: MembershipState,
    *,
    records: dict[InstanceId, InstanceRecord],
) -> None:
    """Replace the instance list.

    Args:
        state: membership of the fleet, updated in place.
        records: current records of the list, by id of the node.
    """
    state.records = records
    state.cached_topology = None


def pick_news(
    state: MembershipState,
    *,
    to: InstanceId,
) -> tuple[News, ...]:
    """Pick the news to send along with a message, the least sent first.

    A suspicion of the receiver itself is always included, so that the
    receiver can refute it.

    Args:
        state: membership of the fleet; its send counters are updated.
        to: id of the node that the message is for.

    Returns:
        News of this node itself, then news of some others.
    """
    sendable = [
        entry
        for entry in state.news_entries.values()
        if entry.retransmits_left > 0
    ]
    sendable.sort(key=_read_retransmits_left, reverse=True)
    chosen = sendable[:NEWS_PER_MESSAGE]
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
    # Every node assumes that listed nodes work. Passing on news that they do
    # would cost a message for each pair of nodes when the fleet starts.
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
    state.news_entries[news.instance] = NewsEntry(
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
        for name, entry in state.news_entries.items()
        if name not in state.records
        and now - entry.since
        > SUSPICION_TIMEOUT_SECONDS * SUSPICION_TIMEOUT_SECONDS
    ]
    for name in forgotten:
        state.news_entries.pop(name)
        state.missed.pop(name, None)
