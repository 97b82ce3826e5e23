"""Base class of context managers that have a ``close`` method."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self


class Closing(ABC):
    """Context manager that calls ``close`` at its end."""

    def __enter__(self) -> Self:
        """Enter the context.

        Returns:
            The object itself.
        """
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the object; an exception from the block is raised on.

        Args:
            kind: type of the exception that ended the block, if any.
            error: the exception.
            trace: its traceback.
        """
        self.close()

    @abstractmethod
    def close(self) -> None:
        """Release everything that the object holds."""
