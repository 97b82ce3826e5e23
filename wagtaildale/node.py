"""A node: its tasks, ports and planned stop, put together."""

from __future__ import annotations

import threading
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import TYPE_CHECKING, Final, Protocol

from result import Result

from wagtaildale.admin.port import AdminPort
from wagtaildale.assembly import (
    make_calls,
    make_fetch,
    make_parts,
    make_watches,
)
from wagtaildale.distribution.dependencies import TaskDependencies
from wagtaildale.distribution.sockets import NodeSockets
from wagtaildale.distribution.state import make_state
from wagtaildale.distribution.task import DistributionTask
from wagtaildale.integration import OWN_INTEGRATION, Integration
from wagtaildale.lifecycle.stop import Stop
from wagtaildale.membership.state import MembershipState
from wagtaildale.membership.topology import Member
from wagtaildale.source.tasks import ReadCounts
from wagtaildale.telemetry.events import EventKind, EventRecorder
from wagtaildale.timers.messages import TimerName
from wagtaildale.timers.service import (
    Subscription,
    TimerService,
    read_clock,
)

if TYPE_CHECKING:
    from wagtaildale.distribution.tuning import Tuning
    from wagtaildale.errors.faults import Fault
    from wagtaildale.settings.model import Settings

JITTER: Final = 0.2
# Distribution, timers, calls, the administration API, one fetch task and at
# most one watch task for each document.
MAX_TASKS: Final = 8
# Longest time for tasks to close their resources. Tasks that wait for the
# platform have nothing to close and are not waited for.
CLOSE_SECONDS: Final = 0.25


class Task(Protocol):
    """A task that runs as long as the node."""

    def run(self) -> None:
        """Run until stopped."""

    def stop(self) -> None:
        """End ``run``."""


class Node:
    """One node of the mesh.

    Attributes:
        parts: objects that several tasks share.
        distribution: task that distributes documents.
        calls: task that carries calls.
        stop: the planned stop.
        drain_requested: set when the administration API requests a stop.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        recorder: EventRecorder,
        sockets: NodeSockets,
        tuning: Tuning | None = None,
        integration: Integration = OWN_INTEGRATION,
    ) -> None:
        """Create all tasks; ``start`` opens the ports.

        Args:
            settings: checked settings.
            recorder: recorder of events.
            sockets: sockets to other nodes, with the fleet's keys.
            tuning: parameters of the distribution; those named in the
                settings if left out.
            integration: adapter for the platform.
        """
        self.parts = make_parts(
            settings,
            recorder=recorder,
            tuning=tuning,
            integration=integration,
        )
        self._executor = ThreadPoolExecutor(
            max_workers=MAX_TASKS,
            thread_name_prefix='wagtaildale',
        )
        self._sockets = sockets
        self._timers = TimerService()
        self._watches = make_watches(self.parts)
        self._fetch = make_fetch(self.parts)
        self.distribution = self._make_distribution()
        self.calls = make_calls(self.parts)
        response_sender = self.calls.owner.response_sender
        response_sender.other_counters.append(
            lambda: self.distribution.sockets.sent_bytes
        )
        self.stop = Stop(
            calls=self.calls,
            inbox=self.parts.inbox,
            recorder=recorder,
            announce_seconds=settings.limits.announce_seconds,
            linger_seconds=settings.limits.linger_seconds,
        )
        self.drain_requested = threading.Event()
        self._admin = AdminPort(self)
        self._futures: list[Future[None]] = []

    def start(self) -> Result[None, Fault]:
        """Open the ports and start all tasks.

        Returns:
            None, or why a port cannot be opened.
        """
        return self._open_ports().map(lambda _none: self._start_tasks())

    def count_reads(self) -> ReadCounts:
        """Count the reads of the platform since the start.

        Returns:
            Reads of all tasks, and how many of them failed.
        """
        watches = self._watches
        return ReadCounts(
            reads=self._fetch.reads + sum(watch.reads for watch in watches),
            failed=self._fetch.failed_reads
            + sum(watch.failed_reads for watch in watches),
        )

    def find_failure(self) -> BaseException | None:
        """Find a task that has ended although the node still runs.

        Returns:
            The task's error, or None if all tasks run.
        """
        for future in self._futures:
            if future.done():
                return future.exception() or RuntimeError(
                    'a task ended without an error'
                )
        return None

    def shut_down(self) -> bool:
        """Run the planned stop and end all tasks.

        Returns:
            Whether all work in flight was finished in time.
        """
        seconds = self.parts.settings.limits.drain_seconds
        self.stop.begin(seconds=seconds)
        done = self.stop.wait(seconds=seconds)
        self.parts.recorder.record(EventKind.node_stopped)
        for task in self._list_tasks():
            task.stop()
        self._executor.shutdown(wait=False, cancel_futures=True)
        wait(self._futures, timeout=CLOSE_SECONDS)
        return done

    def _start_tasks(self) -> None:
        self._subscribe()
        self._futures = [
            self._executor.submit(task.run) for task in self._list_tasks()
        ]
        settings = self.parts.settings
        self.parts.recorder.record(
            EventKind.node_started,
            inputs={
                'service': settings.service,
                'data_centre': settings.data_centre,
                'admin_port': settings.admin_port,
                'seeds': ','.join(settings.distribution.seeds),
            },
        )

    def _list_tasks(self) -> tuple[Task, ...]:
        readers: tuple[Task, ...] = (self._fetch, *self._watches)
        others: tuple[Task, ...] = (
            self._timers,
            self.distribution,
            self._admin,
        )
        return (self.calls, *readers, *others)

    def _open_ports(self) -> Result[None, Fault]:
        # The control port is opened last: ZeroMQ then starts its threads, and
        # all modules that the other ports need are already imported.
        return (
            self.calls.bind()
            .and_then(lambda _none: self._admin.bind())
            .and_then(lambda _none: self._bind_control())
        )

    def _bind_control(self) -> Result[None, Fault]:
        settings = self.parts.settings
        return self._sockets.bind(
            f'tcp://{settings.host}:{settings.control_port}',
        )

    def _make_distribution(self) -> DistributionTask:
        parts = self.parts
        settings = parts.settings
        members = MembershipState(
            own=Member(settings.instance, settings.data_centre),
            incarnation=parts.identity.incarnation,
        )
        dependencies = TaskDependencies(
            recorder=parts.recorder,
            invariants=parts.invariants,
            view=parts.view,
            watches={
                kind: watch.inbox
                for watch in self._watches
                for kind in watch.feed.kinds
            },
            fetches=self._fetch.inbox,
            states=parts.states,
            suspects=parts.suspects,
        )
        return DistributionTask(
            make_state(
                members,
                tuning=parts.tuning,
                seeds=settings.distribution.seeds,
                now=read_clock(),
            ),
            sockets=self._sockets,
            inbox=parts.inbox,
            dependencies=dependencies,
        )

    def _subscribe(self) -> None:
        tuning = self.distribution.state.tuning
        seconds = {
            TimerName.digest: tuning.swap_seconds,
            TimerName.rank: tuning.look_seconds,
        }
        for name, interval in seconds.items():
            self._timers.subscribe(
                Subscription(
                    name=name,
                    inbox=self.parts.inbox,
                    interval=interval,
                    jitter=JITTER,
                ),
            )
