"""Inbox through which a task receives messages from other threads.

A task that owns sockets waits in ``poll``, not on a queue. The inbox has a
file descriptor that becomes readable with each message, so that a single
``poll`` covers sockets and messages.
"""

from __future__ import annotations

import os
import weakref
from queue import Empty, SimpleQueue
from typing import Generic, TypeVar

Message = TypeVar('Message')


class Inbox(Generic[Message]):
    """Queue of messages to one task, which any thread may send.

    Example:
        >>> inbox: Inbox[str] = Inbox()
        >>> inbox.put('hello')
        >>> inbox.take_all()
        ['hello']
    """

    def __init__(self) -> None:
        """Create an empty inbox."""
        self._queue: SimpleQueue[Message] = SimpleQueue()
        self._event = os.eventfd(0, os.EFD_NONBLOCK)
        weakref.finalize(self, os.close, self._event)

    def fileno(self) -> int:
        """Return the file descriptor to poll.

        Returns:
            Descriptor that is readable while messages are queued.
        """
        return self._event

    def put(self, message: Message) -> None:
        """Send a message to the task that owns the inbox.

        Args:
            message: the message.
        """
        self._queue.put(message)
        os.eventfd_write(self._event, 1)

    def take_all(self) -> list[Message]:
        """Take all queued messages without waiting.

        Returns:
            Messages, oldest first; empty if none are queued.
        """
        self._clear_event()
        taken: list[Message] = []
        while not self._queue.empty():
            taken.append(self._queue.get_nowait())
        return taken

    def take(self, *, timeout: float) -> Message | None:
        """Wait for one message.

        Args:
            timeout: maximum wait, seconds.

        Returns:
            The message; None after the timeout.
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
