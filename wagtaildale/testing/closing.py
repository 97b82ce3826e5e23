"""A context that closes what it holds."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self


class Closing(ABC):
    """Something with ``close``, usable in a ``with`` statement."""

    def __enter__(self) -> Self:
        """Use it.

        Returns:
            Itself.
        """
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close it.

        Args:
            kind: of an error, if one ended the use.
            error: the error.
            trace: where it arose.
        """
        self.close()

    @abstractmethod
    def close(self) -> None:
        """End everything that was started."""
