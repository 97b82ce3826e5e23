"""The header fields by which callers and backend servers are spoken to.

The product has its own; a platform that speaks otherwise gives another
``Dialect``. Everything else of a call is the same.
"""

from __future__ import annotations

from msgspec import Struct


class Dialect(Struct, frozen=True, kw_only=True):
    """Names of header fields, in lower case, and what they promise.

    Attributes:
        request_id: names a request towards its backend server.
        deadline_ms: milliseconds that whoever asks still waits.
        depth: how many calls led to this one; nothing if it is not told.
        retries: attempts left to the calls below; nothing if not told.
        expected_instance: which instance a request is meant for; nothing
            if backend servers do not look at one.
        instance: in the answer to a health check, which instance a backend
            server is; nothing if none says so.
        caller_service: which service a request came from; nothing if it is
            not told.
        not_run: set in a response by a backend server that did not run the
            request; nothing if none says so.
        load: a backend server's running, waiting and slots in a response;
            nothing if none tells.
        rate_limit: in a response, how many requests a second a backend
            server takes from all nodes together; nothing if none names it.
        leaving: set in a response by a backend server that will end;
            nothing if none says so.
        accepts_request_id: whether callers name their requests themselves.
        echoes_request_id: whether a response names its request.
        describes_calls: whether callers are told how a call went.
        deadline_spans_retries: whether a caller that retries sends the time
            left of its first try, so that the target counts from there.
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
    accepts_request_id: bool = False
    echoes_request_id: bool = False
    describes_calls: bool = True
    deadline_spans_retries: bool = False
    fractional_retry_after: bool = False

    @property
    def rewritten_fields(self) -> frozenset[bytes]:
        """Fields of a request that are set anew on its way."""
        names = (
            self.deadline_ms,
            self.depth,
            self.retries,
            self.expected_instance,
            self.caller_service,
        )
        return frozenset(name for name in names if name is not None)


DEFAULT_DIALECT = Dialect()
