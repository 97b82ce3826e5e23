"""What the gate is told of the backend server behind it."""

from __future__ import annotations

from msgspec import Struct


class SlotsPublished(Struct, frozen=True, kw_only=True, gc=False):
    """The backend server has published how many requests it runs at once.

    Attributes:
        slots: the number; it then bounds what runs, and nothing is guessed.
            0 if it does not tell.
    """

    slots: int


class RateReported(Struct, frozen=True, kw_only=True, gc=False):
    """The backend server has answered, and perhaps named a rate.

    Attributes:
        per_second: requests that it takes; nothing if it names no limit.
        begun_at: when the request was sent to it, seconds.
    """

    per_second: float | None
    begun_at: float


class RateForwarded(Struct, frozen=True, kw_only=True, gc=False):
    """An entry has heard of a rate from an earlier owner of the server.

    Attributes:
        per_second: requests that the server takes.
    """

    per_second: float


class ServerRestarted(Struct, frozen=True, kw_only=True, gc=False):
    """The backend server has ended; the next one has named nothing."""


class LeavingReported(Struct, frozen=True, kw_only=True, gc=False):
    """The backend server has said that it leaves: nobody waits for it."""


class ProbeSent(Struct, frozen=True, kw_only=True, gc=False):
    """The node has sent the backend server a request of its own."""


ServerMessage = (
    SlotsPublished
    | RateReported
    | RateForwarded
    | ServerRestarted
    | LeavingReported
    | ProbeSent
)
