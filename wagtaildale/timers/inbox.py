"""The inbox by which a task gets its messages.

A task that owns sockets waits in ``poll``, not on a queue. The inbox has a
file descriptor that becomes readable with each message, so that one wait
covers sockets and messages alike.
"""

from __future__ import annotations

import os
from queue import Empty, SimpleQueue
from typing import Generic, TypeVar

Message = TypeVar('Message')


class Inbox(Generic[Message]):
    """Messages for one task, from any thread.

    Example:
        >>> inbox: Inbox[str] = Inbox()
        >>> inbox.put('hello')
        >>> inbox.take_all()
        ['hello']
    """

    def __init__(self) -> None:
        """Open an empty inbox."""
        self._queue: SimpleQueue[Message] = SimpleQueue()
        self._event = os.eventfd(0, os.EFD_NONBLOCK)

    def fileno(self) -> int:
        """Give the descriptor to poll.

        Returns:
            A descriptor that is readable while messages wait.
        """
        return self._event

    def put(self, message: Message) -> None:
        """Leave a message.

        Args:
            message: for the task that owns the inbox.
        """
        self._queue.put(message)
        os.eventfd_write(self._event, 1)

    def take_all(self) -> list[Message]:
        """Take the messages that wait, without waiting.

        Returns:
            Oldest first; empty where none wait.
        """
        self._clear_event()
        taken: list[Message] = []
        while not self._queue.empty():
            taken.append(self._queue.get_nowait())
        return taken

    def take(self, *, timeout: float) -> Message | None:
        """Wait for one message.

        Args:
            timeout: seconds.

        Returns:
            The message, or nothing when the time is up.
        """
        try:
            return self._queue.get(timeout=timeout)
        except Empty:
            return None

    def _clear_event(self) -> None:
        try:
            os.eventfd_read(self._event)
        except BlockingIOError:
            return
