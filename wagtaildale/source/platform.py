"""The interface that each platform's protocol implements."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

from msgspec import Struct
from result import Err, Result

from wagtaildale.configuration.model import Manifest
from wagtaildale.decoding.failures import DecodingFailure, describe_error
from wagtaildale.errors.codes import Code
from wagtaildale.membership.records import InstanceList

Payload = TypeVar('Payload')


class Reading(Struct, Generic[Payload], frozen=True, kw_only=True):
    """Result of one read of the platform.

    Attributes:
        index: cursor for the next watch. It may be lower after a restart of
            the platform, and is unrelated to document versions.
        payload: value of the key; None if there is no such key or if the
            value has not changed since the cursor.
        changed: whether the value has changed since the cursor.
    """

    index: int
    payload: Payload | None
    changed: bool = True


class ReadFailure(Struct, frozen=True, kw_only=True):
    """Why a read returned nothing.

    Attributes:
        code: result code, for instance of an unreachable platform, a refused
            read or an unreadable payload.
        detail: explanation for people.
        is_silent: whether nothing came for too long, over a connection that
            was there.
    """

    code: Code
    detail: str
    is_silent: bool = False


def make_read_failure(failure: DecodingFailure) -> ReadFailure:
    """Describe a read whose payload cannot be decoded.

    Args:
        failure: why it cannot be decoded.

    Returns:
        The failure of the read.
    """
    return ReadFailure(code=failure.code, detail=failure.detail)


class Platform(ABC):
    """Read-only access to a platform."""

    @abstractmethod
    def read_manifest(
        self,
        *,
        index: int,
        wait: float,
    ) -> Result[Reading[Manifest], ReadFailure]:
        """Read the manifest.

        Args:
            index: cursor of the watch; 0 to read at once, otherwise the read
                returns when the platform's index is past it.
            wait: longest time that the platform holds the read open,
                seconds.

        Returns:
            The manifest, or why it was not read.
        """

    @abstractmethod
    def read_part(self, name: str) -> Result[bytes | None, ReadFailure]:
        """Read one part.

        Args:
            name: content hash of the part, hexadecimal.

        Returns:
            The part's bytes, None if there is no such part, or why it was
            not read.
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
            index: cursor of the watch, as for the manifest.
            wait: longest time that the read is held open, seconds.

        Returns:
            The list, or why it was not read.
        """


def read_part(
    platform: Platform, name: str
) -> Result[bytes | None, ReadFailure]:
    """Read a part; an error that nothing expects is a failed read.

    Args:
        platform: platform to read from.
        name: content hash of the part, hexadecimal.

    Returns:
        What the platform returned, or why nothing was read.
    """
    try:
        return platform.read_part(name)
    except Exception as error:
        failure = describe_error(error, code=Code.read_defect)
        return Err(make_read_failure(failure))
