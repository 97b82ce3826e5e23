"""Finished connections that wait for their peers to close."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wagtaildale.reactor.stream import Stream


class LingeringStreams:
    """Streams that were finished and still hold a descriptor."""

    def __init__(self) -> None:
        """Start without streams."""
        self._streams: dict[Stream, None] = {}

    def __len__(self) -> int:
        """Count the streams that are not closed yet.

        Returns:
            Number of descriptors that they hold.
        """
        return len(self._streams)

    def add(self, stream: Stream) -> None:
        """Add a stream that was finished.

        Args:
            stream: the stream.
        """
        if stream.is_closed:
            return
        self._streams[stream] = None
        stream.on_closed = lambda: self._streams.pop(stream, None)

    def close_all(self) -> None:
        """Close all streams at once."""
        for stream in tuple(self._streams):
            stream.close()

    def close_oldest(self) -> bool:
        """Close the stream that has lingered longest.

        Returns:
            Whether there was one.
        """
        for stream in self._streams:
            stream.close()
            return True
        return False
