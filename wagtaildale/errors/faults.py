"""Faults: errors in an input, with the value found and the one expected."""

from __future__ import annotations

from msgspec import Struct

from wagtaildale.errors.codes import Code


class Fault(Struct, frozen=True, kw_only=True):
    """One thing that is wrong with an input.

    Attributes:
        code: the numbered result code.
        where: file, line and key, or the peer that sent it.
        got: what stood there.
        expected: what would have been right, or the way out.
    """

    code: Code
    where: str
    got: str
    expected: str

    def __str__(self) -> str:
        """Format the fault as one line for people.

        Returns:
            Code, location, value found and value expected.
        """
        head = f'E{self.code.value} {self.where}'
        return f'{head}: got {self.got}; expected {self.expected}'


Faults = tuple[Fault, ...]
