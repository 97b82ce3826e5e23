"""Decides for which instances a backend server runs requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from msgspec import Struct

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.owner.finish_check import FinishCheck
from wagtaildale.calls.owner.server_identity import ServerIdentity
from wagtaildale.calls.owner.server_leaving import LeavingTracker
from wagtaildale.calls.owner.server_listing import (
    Listed,
    ServerListing,
    find_listing,
)
from wagtaildale.calls.owner.server_slow_start import SlowStartTracker
from wagtaildale.calls.owner.waiting_calls import WaitingCalls
from wagtaildale.configuration.qualified_names import find_service
from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock
from wagtaildale.types import NO_VERSION, Version

if TYPE_CHECKING:
    from wagtaildale.calls.owner.server_feedback import (
        FeedbackTracker,
        ServerFeedback,
    )
    from wagtaildale.calls.wire.fields import CallFields
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.types import InstanceId, ServiceName


class ServerConditions(Struct, frozen=True, kw_only=True):
    """Conditions under which the server gets requests.

    Attributes:
        slow_start: tracker of whether the server is in slow start.
        is_evacuated: tells whether the server's data centre is evacuated.
        read_list_version: tells the version of the instance list.
        has_other_server: tells whether another server of the service is
            listed that does not leave.
    """

    slow_start: SlowStartTracker
    is_evacuated: Callable[[], bool]
    read_list_version: Callable[[], Version] = lambda: NO_VERSION
    has_other_server: Callable[[], bool] = bool


class ServerTargets:
    """Resolves the instance that runs a request, or refuses the request.

    Attributes:
        denial_listeners: callbacks for each request that names an instance
            other than the backend server.
        leaving: tracker of whether the backend server is leaving.
        waiting_calls: calls that have not been sent to the backend server.
        feedback: tracker of what the backend server reports in responses.
        slow_start: tracker of whether the backend server is in slow start.
        is_evacuated: tells whether the server's data centre is evacuated.
        denial_count: number of requests that the backend server refused
            because they named another instance.
        unlisted_count: number of requests that were sent although the list
            did not have the server as live.
        finish_check: check of runs against the end of this process.
    """

    def __init__(
        self,
        service: ServiceName,
        *,
        find_record: Callable[[InstanceId], InstanceRecord | None],
        recorder: EventRecorder,
        feedback: FeedbackTracker,
        conditions: ServerConditions,
    ) -> None:
        """Start with nothing known of the server.

        Args:
            service: service of the server.
            find_record: lookup of an instance's record in the list.
            recorder: recorder of an event when the server turns out to be
                another instance.
            feedback: tracker of what the server reports in responses.
            conditions: conditions under which the server gets requests.
        """
        self.denial_listeners: list[Callable[[], None]] = []
        self.leaving = LeavingTracker(
            find_record=find_record,
            recorder=recorder,
        )
        self.leaving.listeners.append(feedback.note_leaving)
        self.waiting_calls = WaitingCalls(self.check)
        self.feedback = feedback
        self.denial_count = 0
        self.unlisted_count = 0
        self.finish_check = FinishCheck(
            has_other_server=conditions.has_other_server
        )
        self._read_list_version = conditions.read_list_version
        self._service = service
        self.is_evacuated = conditions.is_evacuated
        self.slow_start = conditions.slow_start
        self._identity = ServerIdentity()
        self._find_record = find_record
        self._recorder = recorder

    def check(self, fields: CallFields) -> None:
        """Check that the server would run a request now.

        Args:
            fields: fields of the call.

        Raises:
            CallFailed: with outcome ``not_run``, if it would not.
        """
        if self.is_evacuated():
            raise CallFailed(Code.evacuated)
        target = self._find_target(fields)
        if target is None:
            self._notify_denial()
            raise CallFailed(Code.wrong_instance)
        is_leaving = any(
            map(self.leaving.is_leaving, (fields.instance, target))
        )
        # An instance that another one has replaced is not listed any more.
        is_removed = target == fields.instance and self.find_listing(
            target
        ).shows_removal(fields.list_version)
        if is_leaving or is_removed:
            raise CallFailed(Code.draining)
        self.finish_check.check(fields)

    def resolve_target(self, fields: CallFields) -> InstanceId:
        """Resolve the instance that runs a request.

        Args:
            fields: fields of the call, after ``check``.

        Returns:
            The instance that the request names, or the one that replaced it
            at its address.
        """
        return self._find_target(fields) or fields.instance

    def find_listing(
        self, instance: InstanceId, *, is_sent: bool = False
    ) -> ServerListing:
        """Find how the list has an instance now.

        Args:
            instance: instance to look up.
            is_sent: whether a request is sent to it now, which is counted.

        Returns:
            The listing.
        """
        listing = find_listing(
            self._find_record(instance), version=self._read_list_version()
        )
        if is_sent and listing.listed is not Listed.live:
            self.unlisted_count += 1
        return listing

    def apply_feedback(
        self,
        feedback: ServerFeedback,
        *,
        instance: InstanceId,
        begun_at: float,
    ) -> None:
        """Apply what the server reports of itself in a response.

        Args:
            feedback: feedback read from the response.
            instance: instance that answered.
            begun_at: time at which the request was sent, in seconds.
        """
        self.feedback.apply(feedback, instance=instance, begun_at=begun_at)
        if feedback.is_leaving:
            self.leaving.note_announced(instance)

    def note_denied(
        self,
        instance: InstanceId,
        *,
        reported: InstanceId | None = None,
    ) -> None:
        """Record that the server is not the instance that a request named.

        Args:
            instance: instance that the request named.
            reported: instance that the server reports to be in its refusal;
                None if it reports none.
        """
        self.denial_count += 1
        self._identity.note_denied(instance, now=read_clock())
        self._recorder.record(EventKind.server_denied, subject=instance)
        if reported is not None and reported != instance:
            self.note_identified(reported)
            # A refusal does not state whether the server is still cold.
            self.slow_start.note_unknown()
        self._notify_denial()

    def note_identified(self, instance: InstanceId) -> None:
        """Record the instance that the server reports to be.

        Args:
            instance: reported instance.
        """
        if instance != self._identity.instance:
            self._recorder.record(EventKind.server_named, subject=instance)
        self._identity.note_identified(instance)

    def note_unidentified(self, failure: CallFailed) -> None:
        """Record that the server did not identify itself when asked.

        Args:
            failure: cause of the failure.
        """
        self._recorder.record(
            EventKind.server_unnamed,
            code=failure.code,
            detail=failure.detail,
        )

    def _find_target(self, fields: CallFields) -> InstanceId | None:
        requested = fields.instance
        target = self._identity.find_target(requested, now=read_clock())
        if target is None or target == requested:
            return target
        return target if self._serves_same_service(fields, target) else None

    def _serves_same_service(
        self,
        fields: CallFields,
        target: InstanceId,
    ) -> bool:
        # An address may be reassigned to a server of another service, which
        # must not run requests meant for the previous one.
        if find_service(fields.work_class) != self._service:
            return False
        record = self._find_record(target)
        return record is None or record.service == self._service

    def _notify_denial(self) -> None:
        for notify in self.denial_listeners:
            notify()
