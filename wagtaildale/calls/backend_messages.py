"""What an owner says to its backend server, and what it hears."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.backend_connection import BackendRequest
from wagtaildale.calls.windows import SendWindow
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.frames import HeaderPairs, Run
    from wagtaildale.calls.owner import Owner
    from wagtaildale.calls.parsing import Header, Message
    from wagtaildale.types import InstanceId

MILLISECONDS: Final = 1000
MISDIRECTED_STATUS: Final = 421


class BackendResponse:
    """A response as far as it has come and gone on.

    Attributes:
        message: as it is read.
        buffer: what of its body has come and not gone on.
        is_started: whether its head has gone on.
        window: what the entry lets pass.
    """

    def __init__(self, message: Message) -> None:
        """Begin with the head.

        Args:
            message: its body is taken from it as it comes.
        """
        self.message = message
        self.buffer = bytearray()
        self.is_started = False
        self.window = SendWindow()

    def drain_buffer(self) -> bytes:
        """Take what is held to pass it on.

        Returns:
            The bytes, perhaps none.
        """
        drained = bytes(self.buffer)
        self.buffer.clear()
        self.window.note_sent(len(drained))
        return drained


def find_refusal(owner: Owner, message: Message) -> bytes | None:
    """Find the backend server's word that it has not run a request.

    Args:
        owner: of the backend server.
        message: its response.

    Returns:
        What it said, or nothing: then the request may have run.
    """
    field = owner.dialect.not_run
    if field is None:
        return None
    if message.status == MISDIRECTED_STATUS:
        return field
    return message.find(field)


def build_request(
    owner: Owner,
    run: Run,
    *,
    deadline: float,
    instance: InstanceId,
) -> BackendRequest:
    """Build a request as it goes to the backend server.

    Args:
        owner: of the backend server.
        run: the request as its entry sent it.
        deadline: when nobody waits any more, seconds on the clock.
        instance: that is to run it.

    Returns:
        The request.
    """
    dialect = owner.dialect
    request_id = run.fields.request_id.encode('latin-1')
    return BackendRequest(
        request_id=request_id if dialect.echoes_request_id else b'',
        method=run.method,
        target=run.target,
        headers=(
            *run.headers,
            *_write_context(owner, run, deadline, instance),
        ),
        body=run.body,
        more=run.more,
        length=run.length,
        idempotent=run.fields.idempotent,
    )


def _write_context(
    owner: Owner,
    run: Run,
    deadline: float,
    instance: InstanceId,
) -> HeaderPairs:
    """Write what a backend server is told, and copies onto its own calls."""
    dialect = owner.dialect
    fields = run.fields
    remaining_ms = max(1, int((deadline - read_clock()) * MILLISECONDS))
    context: list[Header] = [(dialect.deadline_ms, b'%d' % remaining_ms)]
    if not dialect.takes_request_id:
        request_id = fields.request_id.encode('latin-1')
        context.append((dialect.request_id, request_id))
    if dialect.depth is not None:
        context.append((dialect.depth, b'%d' % (fields.depth + 1)))
    if dialect.retries is not None:
        context.append((dialect.retries, b'%d' % fields.retries))
    if dialect.expected_instance is not None:
        target = instance.encode('latin-1')
        context.append((dialect.expected_instance, target))
    return tuple(context)
