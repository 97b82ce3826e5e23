"""The entry's calls to the owner in its own process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.calls.owner.call_table import CallTable
from wagtaildale.calls.wire.frames import Cancel
from wagtaildale.types import CallNumber

if TYPE_CHECKING:
    from wagtaildale.calls.entry.peers import PeerReceiver
    from wagtaildale.calls.owner.owner import Owner
    from wagtaildale.calls.wire.frames import ToEntry, ToOwner


class LocalPeer:
    """The owner in this process, called without a socket."""

    def __init__(self, owner: Owner) -> None:
        """Connect to the node's own owner.

        Args:
            owner: owner of the local backend server.
        """
        # Nothing crosses a line on the way to the owner in this process.
        self.collects_bodies = False
        self.accepts_start_limits = True
        self._loop = owner.loop
        self._calls = CallTable(owner, reply=self._deliver)
        self._receivers: dict[CallNumber, PeerReceiver] = {}
        self._last_number = 0

    @property
    def active_calls(self) -> int:
        """Number of calls in progress."""
        return self._calls.active_calls

    def open_call(self, receiver: PeerReceiver) -> CallNumber:
        """Open a call; see ``Peer``.

        Args:
            receiver: receives the owner's messages.

        Returns:
            Number of the call.
        """
        self._last_number += 1
        number = CallNumber(self._last_number)
        self._receivers[number] = receiver
        return number

    def send(self, frame: ToOwner) -> None:
        """Pass a message to the owner; see ``Peer``.

        Args:
            frame: message to the owner.
        """
        self._calls.handle_frame(frame)

    def close_call(self, number: CallNumber, *, cancelled: bool) -> None:
        """Close a call; see ``Peer``.

        Args:
            number: number of the call.
            cancelled: whether the owner is to stop its work for the call.
        """
        self._receivers.pop(number, None)
        if cancelled:
            self._calls.handle_frame(Cancel(number))

    def _deliver(self, frame: ToEntry) -> None:
        # Deferred, so that the receiver is not called while the entry is still
        # in its own call of ``send``.
        self._loop.call_soon(lambda: self._dispatch(frame))

    def _dispatch(self, frame: ToEntry) -> None:
        number = getattr(frame, 'call', None)
        receiver = self._receivers.get(number) if number else None
        if receiver is not None:
            receiver.on_frame(frame)
