"""The connections of an entry to the owners it calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.peers import (
    OWNER_LEAVES_REASON,
    REFUSED_REASON,
    SILENT_REASON,
    RemotePeer,
)
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.frames import LoadReport
    from wagtaildale.calls.owner_listener import OwnerListener
    from wagtaildale.reactor.loop import Loop
    from wagtaildale.telemetry.events import EventRecorder

MILLISECONDS: Final = 1000
UNNEEDED: Final = 'no longer needed'
STOPPING: Final = 'this node stops'
WANTED_CLOSES: Final = frozenset(
    (UNNEEDED, STOPPING, SILENT_REASON, OWNER_LEAVES_REASON),
)


class PeerPool:
    """The connections of an entry to the owners it calls."""

    def __init__(
        self,
        loop: Loop,
        *,
        listener: OwnerListener,
        recorder: EventRecorder,
    ) -> None:
        """Begin with none.

        Args:
            loop: carries the connections.
            listener: is told what owners say, and who says nothing.
            recorder: gets an event for each connection that is lost.
        """
        self._loop = loop
        self._listener = listener
        self._recorder = recorder
        self._peers: dict[Address, RemotePeer] = {}
        # They begin no new call and end with those under way.
        self._aside: set[RemotePeer] = set()

    def find(self, address: Address, *, compressed: bool) -> RemotePeer:
        """Find the connection to an owner, a new one if there is none.

        Args:
            address: of the owner.
            compressed: whether a new one is compressed.

        Returns:
            The connection, perhaps not open yet.
        """
        peer = self._peers.get(address)
        if peer is None:
            peer = RemotePeer(
                self._loop,
                address,
                compressed=compressed,
                keeper=self,
            )
            self._peers[address] = peer
        return peer

    def keep_only(self, wanted: dict[Address, bool]) -> None:
        """Open what will be needed and close what is idle and is not.

        Args:
            wanted: addresses of the owners that calls may go to, and
                whether connections to them are compressed.
        """
        for address, compressed in wanted.items():
            self.find(address, compressed=compressed)
        for address in self._peers.keys() - wanted.keys():
            if not self._peers[address].active_calls:
                self._peers[address].close(UNNEEDED)

    def close(self) -> None:
        """Close every connection."""
        for peer in (*self._peers.values(), *self._aside):
            peer.close(STOPPING)

    def note_leaving(self, peer: RemotePeer) -> None:
        """Set a connection aside; see ``PeerKeeper``.

        Args:
            peer: to an owner that takes no new calls.
        """
        self._listener.note_leaving(peer.address)
        self._set_aside(peer)

    def note_silent(self, peer: RemotePeer) -> None:
        """Set a connection aside; see ``PeerKeeper``.

        Args:
            peer: on which nothing comes; its calls may wait on it.
        """
        if peer not in self._aside:
            _record(
                self._recorder,
                EventKind.connection_silent,
                peer,
                detail='calls wait',
            )
            self._set_aside(peer)
        # Whether the owner is there is found out on a newer connection.
        newer = self.find(peer.address, compressed=peer.is_compressed)
        if newer.answered_at > peer.heard_at:
            peer.note_elsewhere()
            return
        self._listener.note_silent(peer.address)
        newer.ask()

    def note_refused(self, peer: RemotePeer) -> None:
        """Give up what is silent; see ``PeerKeeper``.

        Args:
            peer: a newer connection to an owner whose process is gone.
        """
        for silent in _list_silent(self._aside, peer.address):
            silent.close(REFUSED_REASON)

    def note_closed(self, peer: RemotePeer, detail: str) -> None:
        """Forget a connection; see ``PeerKeeper``.

        Args:
            peer: that is closed.
            detail: why.
        """
        self._aside.discard(peer)
        self._leave_out(peer)
        if peer.active_calls or detail not in WANTED_CLOSES:
            _record(
                self._recorder,
                EventKind.connection_lost,
                peer,
                detail=detail,
            )

    def note_load(self, peer: RemotePeer, load: LoadReport) -> None:
        """Pass on how full an owner is; see ``PeerKeeper``.

        Args:
            peer: to that owner.
            load: its word.
        """
        self._listener.note_load(peer.address, load)

    def _set_aside(self, peer: RemotePeer) -> None:
        self._leave_out(peer)
        self._aside.add(peer)

    def _leave_out(self, peer: RemotePeer) -> None:
        if self._peers.get(peer.address) is peer:
            self._peers.pop(peer.address)


def _record(
    recorder: EventRecorder,
    kind: EventKind,
    peer: RemotePeer,
    *,
    detail: str,
) -> None:
    recorder.record(
        kind,
        subject=f'{peer.address.host}:{peer.address.port}',
        detail=detail,
        inputs={
            'was_open': int(peer.is_open),
            'calls': peer.active_calls,
            'silent_ms': round(peer.silent_seconds * MILLISECONDS),
            'unsent_bytes': peer.unsent,
        },
    )


def _list_silent(
    peers: Iterable[RemotePeer],
    address: Address,
) -> tuple[RemotePeer, ...]:
    at_address = (peer for peer in peers if peer.address == address)
    return tuple(peer for peer in at_address if peer.is_silent)
