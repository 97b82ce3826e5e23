"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import threading
import time
from pathlib import Path
from typing import Final

START: Final = time.monotonic()


def read_clock() -> float:
    """Return the seconds since the case began."""
    return time.monotonic() - START


class Record:
    """Writes lines with their time to a file; usable from any thread."""

    def __init__(self, path: Path) -> None:
        self._lock = threading.Lock()
        self._stream = path.open('w')

    def note(self, text: str) -> None:
        """Write a line."""
        with self._lock:
            self._stream.write(f'{read_clock():8.3f} s  {text}\n')
            self._stream.flush()
