"""Connections of an entry to the owners that it calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.entry.remote_peer import (
    OWNER_DRAINS_REASON,
    REFUSED_REASON,
    SILENT_REASON,
    RemotePeer,
)
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.entry.owner_listener import OwnerListener
    from wagtaildale.calls.wire.frames import LoadReport
    from wagtaildale.reactor.loop import Loop
    from wagtaildale.telemetry.events import EventRecorder

MILLISECONDS: Final = 1000
UNNEEDED_REASON: Final = 'no longer needed'
STOPPING_REASON: Final = 'this node stops'
EXPECTED_CLOSE_REASONS: Final = frozenset(
    (UNNEEDED_REASON, STOPPING_REASON, SILENT_REASON, OWNER_DRAINS_REASON),
)


class PeerPool:
    """Connections of an entry to the owners that it calls.

    A ``PeerObserver`` of its connections.

    Attributes:
        sent_bytes: bytes that all connections have sent.
    """

    def __init__(
        self,
        loop: Loop,
        *,
        listener: OwnerListener,
        recorder: EventRecorder,
    ) -> None:
        """Create a pool without connections.

        Args:
            loop: event loop of the connections.
            listener: receives load reports, and which owners drain or are
                silent.
            recorder: records an event for each lost connection.
        """
        self.sent_bytes = 0
        self._loop = loop
        self._listener = listener
        self._recorder = recorder
        self._peers: dict[Address, RemotePeer] = {}
        # Retired connections open no new call and close after those in
        # progress.
        self._retired: set[RemotePeer] = set()

    def get_or_open(self, address: Address, *, compressed: bool) -> RemotePeer:
        """Get the connection to an owner; open one if there is none.

        Args:
            address: address of the owner.
            compressed: whether a new connection is compressed.

        Returns:
            The connection, which may not be established yet.
        """
        peer = self._peers.get(address)
        if peer is None:
            peer = RemotePeer(
                self._loop,
                address,
                compressed=compressed,
                observer=self,
            )
            self._peers[address] = peer
        return peer

    def update_needed(
        self, is_compressed_by_address: dict[Address, bool]
    ) -> None:
        """Open connections that are needed and close idle ones that are not.

        Args:
            is_compressed_by_address: for the address of each owner that calls
                may go to, whether connections to it are compressed.
        """
        for address, compressed in is_compressed_by_address.items():
            self.get_or_open(address, compressed=compressed)
        for address in self._peers.keys() - is_compressed_by_address.keys():
            if not self._peers[address].active_calls:
                self._peers[address].close(UNNEEDED_REASON)

    def close(self) -> None:
        """Close every connection."""
        for peer in (*self._peers.values(), *self._retired):
            peer.close(STOPPING_REASON)

    def note_draining(self, peer: RemotePeer) -> None:
        """Retire a connection to a draining owner; see ``PeerObserver``.

        Args:
            peer: connection to an owner that accepts no new calls.
        """
        self._listener.note_draining(peer.address)
        self._retire(peer)

    def note_silent(self, peer: RemotePeer) -> None:
        """Retire a silent connection; see ``PeerObserver``.

        Args:
            peer: connection on which nothing is received; its calls may keep
                waiting on it.
        """
        if peer not in self._retired:
            _record(
                self._recorder,
                EventKind.connection_silent,
                peer,
                detail='calls in progress keep waiting on it',
            )
            self._retire(peer)
        # A newer connection shows whether the owner is alive.
        newer = self.get_or_open(peer.address, compressed=peer.is_compressed)
        if newer.last_received_at > peer.silent_since:
            peer.note_newer_connection_works()
            return
        self._listener.note_silent(peer.address)
        newer.ping()

    def note_refused(self, peer: RemotePeer) -> None:
        """Close the silent connections to an owner; see ``PeerObserver``.

        Args:
            peer: newer connection to the owner, whose process has ended.
        """
        for silent in _list_silent(self._retired, peer.address):
            silent.close(REFUSED_REASON)

    def note_closed(self, peer: RemotePeer, detail: str) -> None:
        """Remove a closed connection; see ``PeerObserver``.

        Args:
            peer: closed connection.
            detail: reason for closing.
        """
        self._retired.discard(peer)
        self._remove(peer)
        if peer.active_calls or detail not in EXPECTED_CLOSE_REASONS:
            _record(
                self._recorder,
                EventKind.connection_lost,
                peer,
                detail=detail,
            )

    def note_load(self, peer: RemotePeer, load: LoadReport) -> None:
        """Pass a load report to the listener; see ``PeerObserver``.

        Args:
            peer: connection to the owner.
            load: load report.
        """
        self._listener.note_load(peer.address, load)

    def _retire(self, peer: RemotePeer) -> None:
        self._remove(peer)
        self._retired.add(peer)

    def _remove(self, peer: RemotePeer) -> None:
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
