"""Exit codes of a case, and whether its disruption is left out."""

from __future__ import annotations

import os
from enum import IntEnum
from typing import final


@final
class Verdict(IntEnum):
    """Exit code of a case."""

    held = 0
    broken = 1
    not_run = 2


def has_trouble() -> bool:
    """Tell whether the disruption takes place."""
    return os.environ.get('TROUBLE', '1') != '0'
