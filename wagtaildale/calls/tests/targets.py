"""Builder of the targets of a server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.calls.owner.server_feedback import FeedbackTracker
from wagtaildale.calls.owner.server_slow_start import SlowStartTracker
from wagtaildale.calls.owner.server_targets import (
    ServerConditions,
    ServerTargets,
)
from wagtaildale.settings.model import BoundSettings
from wagtaildale.testing.builders import build_gate, build_recorder
from wagtaildale.types import NO_VERSION, ServiceName, Version

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord

# The service of the class that ``build_run`` names.
SERVICE = ServiceName('casefiles')


def build_targets(
    *listed: InstanceRecord,
    service: ServiceName = SERVICE,
    is_evacuated: bool = False,
    list_version: Version = NO_VERSION,
) -> ServerTargets:
    """Build the targets of a server.

    Args:
        listed: records of the owner's list.
        service: service of the server.
        is_evacuated: whether the server's data centre is evacuated.
        list_version: version of the owner's list.

    Returns:
        The targets.
    """
    records = {record.instance: record for record in listed}
    recorder = build_recorder()
    gate = build_gate()
    return ServerTargets(
        service,
        find_record=records.get,
        recorder=recorder,
        feedback=FeedbackTracker(gate, recorder=recorder),
        conditions=ServerConditions(
            slow_start=SlowStartTracker(
                gate,
                read_slow_start=lambda: None,
                bounds=BoundSettings(),
                recorder=recorder,
            ),
            is_evacuated=lambda: is_evacuated,
            read_list_version=lambda: list_version,
        ),
    )
