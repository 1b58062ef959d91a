"""What the gateway needs of the HTTP headers that callers and backend servers speak."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..routing.exchanges import MergedAnswer, ServerReply


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller's headers say of its request."""

    request_id: str
    deadline_s: float | None
    """How long the caller waits; ``None`` if it does not say."""


@dataclass(frozen=True, slots=True)
class RawReply:
    """A whole HTTP response as it arrived."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class HeaderCodec(Protocol):
    """Translate between headers and the gateway's own types."""

    def read_request(self, headers: Sequence[tuple[str, str]]) -> RequestMetadata:
        """Return what a caller's *headers* say; raises ``ValueError`` if they cannot be used."""

    def forwarded(self, headers: Sequence[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers of a caller that go on to backend servers."""

    def deadline_headers(self, headers: Sequence[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers in which a caller says how long it waits."""

    def attempt_headers(self, deadline_s: float, server_id: str) -> list[tuple[str, str]]:
        """Return the headers that one attempt has of its own."""

    def read_reply(self, raw: RawReply, request_id: str) -> ServerReply | None:
        """Return a server's reply, or ``None`` if it belongs to another request."""

    def merged_headers(self, answer: MergedAnswer) -> list[tuple[str, str]]:
        """Return the headers of an answer over many shards."""
