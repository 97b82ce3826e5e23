"""An owner as seen by an entry, and the events of its calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.calls.wire.frames import ToEntry, ToOwner
    from wagtaildale.types import CallNumber


class PeerReceiver(Protocol):
    """Receives the events of a call."""

    def on_frame(self, frame: ToEntry) -> None:
        """Handle a message of the owner.

        Args:
            frame: message of the owner.
        """

    def on_peer_silent(self, failure: CallFailed) -> None:
        """Handle a silent owner, which may still answer.

        Called again with each ping while the owner stays silent.

        Args:
            failure: failure of the call if it is given up now.
        """

    def on_peer_lost(self, failure: CallFailed) -> None:
        """Handle the loss of the connection: no more messages arrive.

        Args:
            failure: failure of the call; its outcome is ``not_run`` if nothing
                was ever sent.
        """


class Peer(Protocol):
    """An owner as seen by an entry.

    Attributes:
        collects_bodies: whether the owner runs a request only once its whole
            body has arrived.
        accepts_start_limits: whether the owner understands ``StartLimit``.
    """

    collects_bodies: bool
    accepts_start_limits: bool

    def open_call(self, receiver: PeerReceiver) -> CallNumber:
        """Open a call.

        Args:
            receiver: receives the owner's messages.

        Returns:
            Number that identifies the call in messages.
        """

    def send(self, frame: ToOwner) -> None:
        """Send a message.

        Args:
            frame: message to the owner.
        """

    def close_call(self, number: CallNumber, *, cancelled: bool) -> None:
        """Close a call.

        Args:
            number: number of the call.
            cancelled: whether the owner is to stop its work for the call.
        """
