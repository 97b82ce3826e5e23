"""Header fields that are used with callers and backend servers.

The product has its own fields; a platform with other fields passes another
``Dialect``. Everything else of a call is the same.
"""

from __future__ import annotations

from msgspec import Struct


class Dialect(Struct, frozen=True, kw_only=True):
    """Names of header fields in lower case, and how they are used.

    Attributes:
        request_id: identifies a request towards its backend server.
        deadline_ms: milliseconds for which the sender of a request still waits.
        depth: number of calls that led to this one; None if it is not sent.
        retries: attempts that calls further down may make; None if not sent.
        expected_instance: instance that a request is meant for; None if backend
            servers do not check it.
        instance: in a health check's answer, instance of the backend server;
            None if backend servers do not send it.
        caller_service: service that a request came from; None if it is not
            sent.
        not_run: set in a response by a backend server that did not run the
            request; None if backend servers do not send it.
        load: in a response, running and waiting requests and slots of a backend
            server; None if backend servers do not send it.
        rate_limit: in a response, number of requests per second that a backend
            server accepts from all nodes together; None if backend servers do
            not send it.
        leaving: set in a response by a backend server that is about to end;
            None if backend servers do not send it.
        slow_start_ms: in a health check's answer, milliseconds until a cold
            backend server is warm; None if backend servers do not send it.
        accepts_request_id: whether callers choose the identifiers of requests.
        echoes_request_id: whether a response contains the request's identifier.
        describes_calls: whether responses tell callers how the call went.
        deadline_spans_retries: whether the deadline that a retrying caller
            sends is that of its first attempt; the target time then counts
            from that attempt.
        fractional_retry_after: whether ``Retry-After`` may have a fraction.
    """

    request_id: bytes = b'wagtaildale-request-id'
    deadline_ms: bytes = b'wagtaildale-deadline-ms'
    depth: bytes | None = b'wagtaildale-depth'
    retries: bytes | None = b'wagtaildale-retries'
    expected_instance: bytes | None = None
    instance: bytes | None = None
    caller_service: bytes | None = None
    not_run: bytes | None = None
    load: bytes | None = None
    rate_limit: bytes | None = b'wagtaildale-rate-limit'
    leaving: bytes | None = b'wagtaildale-leaving'
    slow_start_ms: bytes | None = None
    accepts_request_id: bool = False
    echoes_request_id: bool = False
    describes_calls: bool = True
    deadline_spans_retries: bool = False
    fractional_retry_after: bool = False

    @property
    def rewritten_fields(self) -> frozenset[bytes]:
        """Fields of a request that nodes replace when they forward it."""
        names = (
            self.deadline_ms,
            self.depth,
            self.retries,
            self.expected_instance,
            self.caller_service,
        )
        return frozenset(name for name in names if name is not None)


DEFAULT_DIALECT = Dialect()
