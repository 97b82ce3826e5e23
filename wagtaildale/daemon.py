"""``wagtaildaled``: runs one node beside one backend server."""

from __future__ import annotations

import faulthandler
import gc
import os
import signal
import sys
from contextlib import closing
from typing import TYPE_CHECKING, Final

import click
from result import Err

from wagtaildale.assembly import read_incarnation
from wagtaildale.distribution.sockets import NodeSockets
from wagtaildale.errors.codes import Code
from wagtaildale.integration import OWN_INTEGRATION, Integration
from wagtaildale.keys.pairs import read_pairs
from wagtaildale.node import Node
from wagtaildale.settings.load import load_settings
from wagtaildale.telemetry.events import EventKind, EventRecorder
from wagtaildale.telemetry.log import open_log
from wagtaildale.timers.inbox import Inbox

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType

    from wagtaildale.distribution.tuning import Tuning
    from wagtaildale.errors.faults import Faults
    from wagtaildale.keys.pairs import KeyPair
    from wagtaildale.settings.model import Settings

# Interval of the checks for failed tasks; a signal ends the wait at once.
POLL_SECONDS: Final = 2.0
# With the default of 5 ms one busy thread delays every call that long.
THREAD_SWITCH_SECONDS: Final = 0.0005
EXIT_SETTINGS: Final = 2
EXIT_START: Final = 3
EXIT_WORK_CUT: Final = 4
EXIT_DEFECT: Final = 5


class Signals:
    """Passes signals to the main thread through an inbox.

    A signal handler runs in the main thread, between any two steps of its
    code. If it acquires a lock that the thread holds, such as that of a
    ``threading.Event``, the process deadlocks, ignores the stop until it is
    killed, and all work in flight is cut. The inbox's queue is safe to use
    from a handler at any time.
    """

    def __init__(
        self,
        recorder: EventRecorder,
        *,
        stop_waiting: Callable[[], None],
    ) -> None:
        """Install handlers for SIGTERM, SIGINT and SIGHUP.

        Args:
            recorder: recorder of an event for each SIGHUP.
            stop_waiting: called on SIGINT during a stop.
        """
        self._is_stopping = False
        self._inbox: Inbox[int] = Inbox()
        self._recorder = recorder
        self._stop_waiting = stop_waiting
        signal.signal(signal.SIGTERM, self._on_stop_signal)
        signal.signal(signal.SIGINT, self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._on_hangup)

    def wait(self, seconds: float) -> bool:
        """Wait for a signal to stop.

        Args:
            seconds: longest wait, seconds.

        Returns:
            Whether the signal has arrived.
        """
        if not self._is_stopping:
            number = self._inbox.take(timeout=seconds)
            if number == signal.SIGHUP:
                self._record_settings_kept()
        return self._is_stopping

    def _on_stop_signal(self, number: int, frame: FrameType | None) -> None:
        # Supervisors and process groups send SIGTERM more than once without
        # meaning haste; a person at a terminal does.
        if self._is_stopping and number == signal.SIGINT:
            self._stop_waiting()
        self._is_stopping = True
        self._inbox.put(number)

    def _on_hangup(self, number: int, frame: FrameType | None) -> None:
        self._inbox.put(number)

    def _record_settings_kept(self) -> None:
        self._recorder.record(
            EventKind.settings_kept,
            detail='SIGHUP has no effect: settings are read only at the start',
        )


@click.command()
@click.option(
    '--settings',
    'settings_file',
    required=True,
    type=click.Path(dir_okay=False),
    help='TOML file with the settings of this node.',
)
@click.option(
    '--check',
    is_flag=True,
    help='Check the settings and exit.',
)
def main(settings_file: str, *, check: bool) -> None:
    """Run one node of the mesh beside its backend server.

    SIGTERM starts the planned stop: no new work is accepted and work in
    flight is finished. A further SIGTERM changes nothing; SIGINT during the
    stop ends the wait. SIGHUP has no effect and is recorded.

    Args:
        settings_file: path of the settings file.
        check: whether to check the settings and exit.
    """
    loaded = load_settings(settings_file)
    if isinstance(loaded, Err):
        _print_faults(loaded.err_value)
        sys.exit(EXIT_SETTINGS)
    if not check:
        end_process(run_daemon(loaded.ok_value))


def end_process(code: int) -> None:
    """End the process at once, without the interpreter's shutdown.

    After the planned stop the interpreter would wait for a thread in a long
    poll, or unload its modules while a thread is still in a library's C code:
    the process would be killed when its time is over, or end by a
    segmentation fault. No state is left to save at this point.

    Args:
        code: exit code of the process.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def run_daemon(
    settings: Settings,
    *,
    make_sockets: Callable[[tuple[KeyPair, ...]], NodeSockets] = NodeSockets,
    tuning: Tuning | None = None,
    integration: Integration = OWN_INTEGRATION,
) -> int:
    """Run a node until a signal stops it.

    Args:
        settings: checked settings.
        make_sockets: factory of the sockets to other nodes; the soak test
            passes one whose sockets lose messages.
        tuning: parameters of the distribution; those named in the settings
            if left out.
        integration: adapter for the platform.

    Returns:
        Exit code: 0 after a stop that cut no work.
    """
    # Prints a traceback on a crash in a library's C code, which leaves none
    # otherwise.
    faulthandler.enable()
    sys.setswitchinterval(THREAD_SWITCH_SECONDS)
    log = open_log(level=settings.log.level)
    recorder = EventRecorder(
        settings.instance,
        read_incarnation(),
        sink=log,
    )
    keys = read_pairs(settings.keys.secret_files)
    if isinstance(keys, Err):
        _print_faults(keys.err_value)
        return EXIT_SETTINGS
    sockets = make_sockets(keys.ok_value)
    node = Node(
        settings,
        recorder=recorder,
        sockets=sockets,
        tuning=tuning,
        integration=integration,
    )
    signals = Signals(recorder, stop_waiting=node.stop.stop_waiting)
    started = node.start()
    if isinstance(started, Err):
        _print_faults((started.err_value,))
        return EXIT_START
    # The log's thread starts only after all modules are imported.
    log.start()
    # All objects so far live as long as the process. Freezing them takes them
    # out of garbage collections, whose pauses would increase tail latency.
    gc.collect()
    gc.freeze()
    with closing(log):
        return _run_until_stopped(node, signals)


def _run_until_stopped(node: Node, signals: Signals) -> int:
    while not signals.wait(POLL_SECONDS):
        if node.drain_requested.is_set():
            break
        failure = node.find_failure()
        if failure is not None:
            node.parts.recorder.record(
                EventKind.node_stopped,
                code=Code.invariant_broken,
                detail=repr(failure),
            )
            node.shut_down()
            return EXIT_DEFECT
    return 0 if node.shut_down() else EXIT_WORK_CUT


def _print_faults(faults: Faults) -> None:
    for fault in faults:
        click.echo(str(fault), err=True)


if __name__ == '__main__':
    main()
