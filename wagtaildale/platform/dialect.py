"""The header names that the platform's callers and backend servers use."""

from __future__ import annotations

from typing import Final

from wagtaildale.calls.dialect import Dialect

PLATFORM_DIALECT: Final = Dialect(
    request_id=b'x-request-id',
    deadline_ms=b'x-deadline-ms',
    depth=None,
    retries=None,
    expected_instance=b'x-expected-instance',
    instance=b'x-instance-id',
    caller_service=b'x-caller-service',
    not_run=b'x-not-executed',
    load=b'x-server-load',
    rate_limit=b'server-limit',
    leaving=b'server-leaving',
    slow_start_ms=b'x-cold-ms',
    accepts_request_id=True,
    echoes_request_id=True,
    describes_calls=False,
    deadline_spans_retries=True,
    fractional_retry_after=True,
)
