"""Messages that inform the gate about its backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from wagtaildale.admission.pace import ServerLoad
from wagtaildale.admission.slow_start import SlowStartBound

if TYPE_CHECKING:
    from wagtaildale.admission.messages import TicketId


class SlotsPublished(Struct, frozen=True, kw_only=True, gc=False):
    """The backend server has published its number of slots.

    Attributes:
        slots: concurrent requests that it accepts, which becomes the fixed
            limit instead of an adaptive one; 0 if it does not publish any.
    """

    slots: int


class RateReported(Struct, frozen=True, kw_only=True, gc=False):
    """The backend server has responded, with or without a rate limit.

    Attributes:
        per_second: requests per second that it accepts; None if the response
            names no limit.
        begun_at: when the request was sent to it, seconds.
    """

    per_second: float | None
    begun_at: float


class RateForwarded(Struct, frozen=True, kw_only=True, gc=False):
    """An entry has forwarded a rate limit from an earlier owner.

    Attributes:
        per_second: requests per second that the backend server accepts.
    """

    per_second: float


class ServerRestarted(Struct, frozen=True, kw_only=True, gc=False):
    """The backend server has ended; its successor has named no limit yet."""


class LeavingReported(Struct, frozen=True, kw_only=True, gc=False):
    """The backend server is leaving: queued requests are refused."""


class DataCentreEvacuated(Struct, frozen=True, kw_only=True, gc=False):
    """The data centre is evacuated: queued requests are refused."""


class SlowStartBegan(Struct, frozen=True, kw_only=True, gc=False):
    """The backend server is cold, or may be.

    Attributes:
        bound: what it may get until it is warm.
        has_started: whether a new server process has just started, which got
            nothing of what was sent before, except for what still runs.
    """

    bound: SlowStartBound
    has_started: bool = False


class SlowStartEnded(Struct, frozen=True, kw_only=True, gc=False):
    """The backend server has reported that it is warm."""


class LoadReported(Struct, frozen=True, kw_only=True, gc=False):
    """The backend server has reported its load in a response.

    Attributes:
        load: reported load.
    """

    load: ServerLoad


class RequestSent(Struct, frozen=True, kw_only=True, gc=False):
    """An admitted request is being sent.

    It may have waited since its admission: for its run message, or for a
    server that restarts.

    Attributes:
        ticket: ticket of the request.
    """

    ticket: TicketId


class ProbeSent(Struct, frozen=True, kw_only=True, gc=False):
    """The node has sent its own request, such as a health check."""


ServerMessage = (
    SlotsPublished
    | RateReported
    | RateForwarded
    | ServerRestarted
    | LeavingReported
    | DataCentreEvacuated
    | SlowStartBegan
    | SlowStartEnded
    | LoadReported
    | RequestSent
    | ProbeSent
)
