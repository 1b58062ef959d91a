"""Detection of HTTP messages that end within their head.

The standard library ends the headers of a message at an empty line or at the end of the stream,
without a difference between the two. A reply whose sender has stopped within its head would then
pass for a complete one, with an empty body if the length is among the headers that are missing, and
a request would lose its body.
"""

from __future__ import annotations

import http.client
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from typing import BinaryIO


class IncompleteHeadError(http.client.HTTPException, ValueError):
    """The stream has ended within the first line or the headers of a message."""


class HeadReader:
    """Reads the lines of a head from a stream; raises ``IncompleteHeadError`` at its end.

    ::

        headers = http.client.parse_headers(HeadReader(stream))
    """

    def __init__(self, stream: BinaryIO) -> None:
        self._stream = stream

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, or the first *limit* bytes of a longer one."""
        line = self._stream.readline(limit)
        if not line.endswith(b"\n") and len(line) != limit:
            raise IncompleteHeadError("the connection was closed within the head of a message")
        return line

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()


class WholeHeadResponse(http.client.HTTPResponse):
    """A response of which the head must be complete.

    Set as ``response_class`` of an ``HTTPConnection``, also of urllib3's.
    """

    def begin(self) -> None:
        """Read the head.

        Raises ``IncompleteHeadError``, or ``RemoteDisconnected`` if not a byte has arrived.
        """
        stream: Any = self.fp
        if not stream.peek(1):
            raise http.client.RemoteDisconnected("the connection was closed without a response")
        self.fp = HeadReader(stream)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = stream
