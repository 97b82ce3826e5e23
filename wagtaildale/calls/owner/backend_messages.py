"""Requests to the backend server and its responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.calls.backend.backend_connection import BackendRequest
from wagtaildale.suspects.fingerprints import BODY_BYTES
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.http.parsing import Header, Message
    from wagtaildale.calls.owner.owner import Owner
    from wagtaildale.calls.wire.frames import HeaderPairs, Run
    from wagtaildale.types import InstanceId

MILLISECONDS: Final = 1000
# The server answers 421 to a request for another instance.
MISDIRECTED_STATUS: Final = 421


def find_not_run_evidence(owner: Owner, message: Message) -> bytes | None:
    """Find evidence in a response that the request did not run.

    Args:
        owner: owner of the backend server.
        message: response of the server.

    Returns:
        Value of the header by which the server reports it, or the name of the
        header if the status is 421; None if the request may have run.
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
    """Build the HTTP request for the backend server.

    Args:
        owner: owner of the backend server.
        run: run message as the entry sent it.
        deadline: time at which the caller gives up, in seconds on the clock.
        instance: instance that should run the request.

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
            *_build_call_headers(owner, run, deadline, instance),
        ),
        body=run.body,
        more=run.more,
        length=run.length,
        idempotent=run.fields.idempotent,
    )


def keep_identity(run: Run) -> Run:
    """Reduce a run message to what identifies its request.

    Args:
        run: run message as the entry sent it.

    Returns:
        The message with only the beginning of a long body.
    """
    if len(run.body) <= BODY_BYTES:
        return run
    return structs.replace(run, body=run.body[:BODY_BYTES])


def _build_call_headers(
    owner: Owner,
    run: Run,
    deadline: float,
    instance: InstanceId,
) -> HeaderPairs:
    """Build the fields that tell a server about the request it runs.

    The server copies some of them to its own calls.
    """
    dialect = owner.dialect
    fields = run.fields
    remaining_ms = max(1, int((deadline - read_clock()) * MILLISECONDS))
    headers: list[Header] = [(dialect.deadline_ms, b'%d' % remaining_ms)]
    if not dialect.accepts_request_id:
        request_id = fields.request_id.encode('latin-1')
        headers.append((dialect.request_id, request_id))
    if dialect.depth is not None:
        headers.append((dialect.depth, b'%d' % (fields.depth + 1)))
    if dialect.retries is not None:
        headers.append((dialect.retries, b'%d' % fields.retries))
    if dialect.expected_instance is not None:
        target = instance.encode('latin-1')
        headers.append((dialect.expected_instance, target))
    return tuple(headers)
