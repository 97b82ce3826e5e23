"""For which instances a backend server runs requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.server_identity import ServerIdentity
from wagtaildale.calls.server_leaving import ServerLeaving
from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.fields import CallFields
    from wagtaildale.calls.server_feedback import (
        ServerFeedback,
        FeedbackTracker,
    )
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.types import InstanceId, ServiceName


class ServerTargets:
    """Names the instance that a request goes to, or refuses it unrun.

    Attributes:
        denial_listeners: are told when the backend server is not the one
            that a request names.
        leaving: whether the backend server leaves.
        feedback: what the backend server says of itself.
    """

    def __init__(
        self,
        service: ServiceName,
        *,
        find_record: Callable[[InstanceId], InstanceRecord | None],
        recorder: EventRecorder,
        feedback: FeedbackTracker,
    ) -> None:
        """Begin with nothing known of the server.

        Args:
            service: of the server.
            find_record: gives what is listed of an instance.
            recorder: gets an event when the server is another instance.
            feedback: what the server says of itself.
        """
        self.denial_listeners: list[Callable[[], None]] = []
        self.leaving = ServerLeaving(
            find_record=find_record,
            recorder=recorder,
        )
        self.leaving.listeners.append(feedback.note_leaving)
        self.feedback = feedback
        self._service = service
        self._identity = ServerIdentity()
        self._find_record = find_record
        self._recorder = recorder

    def check(self, fields: CallFields) -> None:
        """Check that the server would run a request now.

        Args:
            fields: what the entry told.

        Raises:
            CallFailed: with outcome ``not_run``, when it would not.
        """
        target = self._find_target(fields)
        if target is None:
            self._notify_denial()
            raise CallFailed(Code.wrong_instance)
        if any(map(self.leaving.is_leaving, (fields.instance, target))):
            raise CallFailed(Code.draining)

    def resolve_target(self, fields: CallFields) -> InstanceId:
        """Name the instance that a request goes to.

        Args:
            fields: of its call, after ``check``.

        Returns:
            The one for which it is meant, or the one that has taken its
            place at its address.
        """
        return self._find_target(fields) or fields.instance

    def apply_feedback(
        self,
        feedback: ServerFeedback,
        *,
        instance: InstanceId,
        begun_at: float,
    ) -> None:
        """Take what the server says of itself with a response.

        Args:
            feedback: of the server.
            instance: that answered.
            begun_at: when the request was sent to it, seconds.
        """
        self.feedback.apply(feedback, instance=instance, begun_at=begun_at)
        if feedback.is_leaving:
            self.leaving.note_announced(instance)

    def note_denied(self, instance: InstanceId) -> None:
        """Note that the server is not the one that a request named.

        Args:
            instance: that was named.
        """
        self._identity.note_denied(instance, now=read_clock())
        self._recorder.record(EventKind.server_denied, subject=instance)
        self._notify_denial()

    def note_identified(self, instance: InstanceId) -> None:
        """Note which instance the server says that it is.

        Args:
            instance: that it named.
        """
        if instance != self._identity.instance:
            self._recorder.record(EventKind.server_named, subject=instance)
        self._identity.note_identified(instance)

    def note_unidentified(self, failure: CallFailed) -> None:
        """Note that the server was asked who it is and did not say.

        Args:
            failure: why.
        """
        self._recorder.record(
            EventKind.server_unnamed,
            code=failure.code,
            detail=failure.detail,
        )

    def _find_target(self, fields: CallFields) -> InstanceId | None:
        named = fields.instance
        target = self._identity.find_target(named, now=read_clock())
        if target is None or target == named:
            return target
        return target if self._serves_same_service(fields, target) else None

    def _serves_same_service(
        self, fields: CallFields, target: InstanceId
    ) -> bool:
        # Failure: an address goes to a server of another service, and it
        # runs what was meant for the one before it.
        if fields.work_class.partition('/')[0] != self._service:
            return False
        record = self._find_record(target)
        return record is None or record.service == self._service

    def _notify_denial(self) -> None:
        for notify in self.denial_listeners:
            notify()
