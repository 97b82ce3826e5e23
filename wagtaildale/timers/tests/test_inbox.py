"""Tests of inboxes."""

from __future__ import annotations

import gc
import os
from pathlib import Path

from wagtaildale.timers.inbox import Inbox

DESCRIPTORS = Path('/proc/self/fd')


def use_inbox() -> int:
    """Use an inbox and return its descriptor."""
    inbox: Inbox[str] = Inbox()
    inbox.put('waiting')
    assert os.fstat(inbox.fileno())
    return inbox.fileno()


def test_inbox_that_is_not_used_any_more_keeps_no_descriptor() -> None:
    """A process that has opened many tasks runs out of descriptors."""
    descriptor = use_inbox()
    gc.collect()
    assert not (DESCRIPTORS / str(descriptor)).exists()
