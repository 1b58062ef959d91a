"""Interface to the platform-specific HTTP headers of callers and backend servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..routing.exchanges import MergedAnswer, ServerReply


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Request metadata from a caller's headers."""

    request_id: str
    deadline_s: float | None
    """How long the caller waits, in seconds; ``None`` if it does not specify a deadline."""
    key_digests: tuple[bytes, ...] = field(default=(), repr=False)
    """Digests of the keys with which the caller identifies itself."""


@dataclass(frozen=True, slots=True)
class RawReply:
    """A complete HTTP response as received."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class HeaderCodec(Protocol):
    """Translates between HTTP headers and the gateway's own types."""

    def read_request(self, headers: Sequence[tuple[str, str]]) -> RequestMetadata:
        """Return the metadata in a caller's *headers*; raises ``ValueError`` if invalid."""

    def forwarded_headers(
        self, headers: Sequence[tuple[str, str]], has_workspaces: bool
    ) -> list[tuple[str, str]]:
        """Return the caller's headers that are forwarded to backend servers.

        If the configuration *has_workspaces*, keys and a workspace that the caller names are not.
        """

    def workspace_headers(self, name: str) -> list[tuple[str, str]]:
        """Return the headers that tell a backend server the workspace of a request."""

    def deadline_headers(self, headers: Sequence[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers that specify the caller's deadline."""

    def attempt_headers(self, deadline_s: float, server_id: str) -> list[tuple[str, str]]:
        """Return the headers that are specific to one attempt."""

    def read_reply(self, raw: RawReply, request_id: str) -> ServerReply | None:
        """Return the decoded reply, or ``None`` if it belongs to another request."""

    def merged_headers(self, answer: MergedAnswer) -> list[tuple[str, str]]:
        """Return the headers of an answer merged from several shards."""
