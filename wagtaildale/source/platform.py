"""The one small interface behind which each platform's protocol stands."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

from msgspec import Struct
from result import Result

from wagtaildale.configuration.model import Manifest
from wagtaildale.errors.codes import Code
from wagtaildale.membership.records import InstanceList

Payload = TypeVar('Payload')


class Reading(Struct, Generic[Payload], frozen=True, kw_only=True):
    """What the platform answered.

    Attributes:
        index: cursor for the next watch. It may jump back when the platform
            restarts, and means nothing to a node's version.
        payload: what stood there; nothing if there is no such key or if
            it has not changed since the cursor.
        changed: whether it has changed since the cursor.
    """

    index: int
    payload: Payload | None
    changed: bool = True


class ReadFailure(Struct, frozen=True, kw_only=True):
    """Why a read gave nothing.

    Attributes:
        code: unreachable, refused, or unreadable.
        detail: for a person.
    """

    code: Code
    detail: str


class Platform(ABC):
    """Reads and watches; there is nothing here that writes."""

    @abstractmethod
    def read_manifest(
        self,
        *,
        index: int,
        wait: float,
    ) -> Result[Reading[Manifest], ReadFailure]:
        """Read the manifest.

        Args:
            index: answer once the platform's index is past this; 0 for now.
            wait: seconds that the platform holds the read open at most.

        Returns:
            The manifest, or why not.
        """

    @abstractmethod
    def read_part(self, name: str) -> Result[bytes | None, ReadFailure]:
        """Read one part.

        Args:
            name: its content hash, hexadecimal.

        Returns:
            Its bytes, nothing if it is not there, or why not.
        """

    @abstractmethod
    def read_instances(
        self,
        *,
        index: int,
        wait: float,
    ) -> Result[Reading[InstanceList], ReadFailure]:
        """Read the instance list.

        Args:
            index: as for the manifest.
            wait: as for the manifest.

        Returns:
            The list, or why not.
        """
