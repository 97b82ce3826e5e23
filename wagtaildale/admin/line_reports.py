"""Reports on the outgoing lines of nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.admin.model import OutgoingLineState

if TYPE_CHECKING:
    from wagtaildale.node import Node
    from wagtaildale.routing.upstream import UpstreamStatistics


def report_outgoing_line(node: Node) -> OutgoingLineState | None:
    """Report on the line out of a node.

    Args:
        node: node of this process.

    Returns:
        State of the line; None if its owner does not schedule responses.
    """
    sender = node.calls.owner.response_sender
    line = sender.line_state
    if line is None:
        return None
    return OutgoingLineState(
        wait_ms=line.wait_ms,
        backlog_bytes=round(sender.backlog_bytes),
    )


def describe_outgoing_line(
    upstream: UpstreamStatistics, *, now: float
) -> tuple[str, ...]:
    """Describe what an entry knows of the outgoing line of an upstream.

    Args:
        upstream: statistics of the upstream.
        now: current time, in seconds.

    Returns:
        One text; none if the owner does not report its line.
    """
    line = upstream.lines.outgoing
    if not line.is_known:
        return ()
    return (f'outgoing line free in {line.estimate_wait(now):.2f} s',)
