"""``wagtaildaled``: one node, beside one backend server."""

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

from wagtaildale.distribution.sockets import NodeSockets
from wagtaildale.errors.codes import Code
from wagtaildale.keys.pairs import read_pairs
from wagtaildale.assembly import read_incarnation
from wagtaildale.integration import OWN_INTEGRATION, Integration
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

# A signal ends the wait at once; a task that has failed is found this late.
LOOK_SECONDS: Final = 2.0
# The default of 5 ms lets one busy thread hold up every call that long.
SWITCH_SECONDS: Final = 0.0005
EXIT_SETTINGS: Final = 2
EXIT_START: Final = 3
EXIT_CUT: Final = 4
EXIT_DEFECT: Final = 5


class Signals:
    """Turns signals into what the main thread waits for.

    Failure guarded here: a process that is asked to stop works on until it
    is killed, and everything under way is cut. A handler runs in the main
    thread, between any two of its steps; if it asks for a lock that the
    thread holds just then, as an event has one, both wait for ever. The
    inbox's queue may be used from a handler at any moment.
    """

    def __init__(
        self,
        recorder: EventRecorder,
        *,
        hurry: Callable[[], None],
    ) -> None:
        """Take over SIGTERM, SIGINT and SIGHUP.

        Args:
            recorder: gets an event for a signal that changes nothing.
            hurry: is called for a second signal to stop.
        """
        self._is_stopping = False
        self._inbox: Inbox[int] = Inbox()
        self._recorder = recorder
        self._hurry = hurry
        signal.signal(signal.SIGTERM, self._stop)
        signal.signal(signal.SIGINT, self._stop)
        signal.signal(signal.SIGHUP, self._keep)

    def wait(self, seconds: float) -> bool:
        """Wait for the signal to stop.

        Args:
            seconds: at most.

        Returns:
            Whether it has come.
        """
        if not self._is_stopping:
            number = self._inbox.take(timeout=seconds)
            if number == signal.SIGHUP:
                self._note_kept()
        return self._is_stopping

    def _stop(self, number: int, frame: FrameType | None) -> None:
        if self._is_stopping:
            self._hurry()
        self._is_stopping = True
        self._inbox.put(number)

    def _keep(self, number: int, frame: FrameType | None) -> None:
        self._inbox.put(number)

    def _note_kept(self) -> None:
        self._recorder.record(
            EventKind.settings_kept,
            detail='SIGHUP changes nothing: settings are read at the start',
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

    SIGTERM stops it in order: no new work, what is in flight is finished. A
    second one ends the wait. SIGHUP changes nothing and is noted.

    Args:
        settings_file: path of the settings.
        check: only check them.
    """
    loaded = load_settings(settings_file)
    if isinstance(loaded, Err):
        _complain(loaded.err_value)
        sys.exit(EXIT_SETTINGS)
    if not check:
        end_process(run_daemon(loaded.ok_value))


def end_process(code: int) -> None:
    """End the process at once.

    Failure guarded here: the planned stop is over, and the interpreter waits
    for a thread that sits in a long poll, or takes its modules down while a
    thread is still in a library's C code. It shows as a process that is
    killed at the end of its time, or ends by a segmentation fault. By now
    nothing is left that an orderly end would save.

    Args:
        code: exit code.
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
        settings: checked.
        make_sockets: makes the sockets to other nodes; the soak gives ones
            that lose messages.
        tuning: the figures of distribution, if not the settings' own.
        integration: how the platform is met.

    Returns:
        Exit code: 0 after a stop that cut nothing.
    """
    # A crash in a library's C code leaves no other trace.
    faulthandler.enable()
    sys.setswitchinterval(SWITCH_SECONDS)
    log = open_log(level=settings.log.level)
    recorder = EventRecorder(
        settings.instance,
        read_incarnation(),
        sink=log,
    )
    keys = read_pairs(settings.keys.secret_files)
    if isinstance(keys, Err):
        _complain(keys.err_value)
        return EXIT_SETTINGS
    sockets = make_sockets(keys.ok_value)
    node = Node(
        settings,
        recorder=recorder,
        sockets=sockets,
        tuning=tuning,
        integration=integration,
    )
    signals = Signals(recorder, hurry=node.stop.hurry)
    started = node.start()
    if isinstance(started, Err):
        _complain((started.err_value,))
        return EXIT_START
    # Threads start only now that everything is imported.
    log.start()
    # What was built so far lives as long as the process: leave it out of
    # every collection, whose pauses would go into the tail of calls.
    gc.collect()
    gc.freeze()
    with closing(log):
        return _wait(node, signals)


def _wait(node: Node, signals: Signals) -> int:
    while not signals.wait(LOOK_SECONDS):
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
    return 0 if node.shut_down() else EXIT_CUT


def _complain(faults: Faults) -> None:
    for fault in faults:
        click.echo(str(fault), err=True)


if __name__ == '__main__':
    main()
