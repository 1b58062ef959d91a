"""The platform's HTTP headers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..gateway.header_codec import RequestMetadata
from ..routing.exchanges import ServerReply
from .keys import digest_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..gateway.header_codec import RawReply
    from ..routing.exchanges import MergedAnswer

REQUEST_ID = "x-marigoldwalk-request-id"
DEADLINE_MS = "x-marigoldwalk-deadline-ms"
SIGNATURE = "x-marigoldwalk-response-stamp"
EXPECT_SERVER = "x-marigoldwalk-expect-instance"
NOT_RUN = "x-marigoldwalk-not-executed"
API_KEY = "x-api-key"
TENANT_ID = "x-marigoldwalk-tenant-id"
LEAVING = "server-leaving"
RATE_LIMIT = "server-limit"
RETRY_AFTER = "retry-after"
MAX_RETRY_AFTER_S = 86_400.0
"""A longer pause, which no server can mean, counts as this one."""
MAX_DEADLINE_MS = 86_400_000
"""A longer deadline counts as this one; a route's timeout is shorter."""
PART_SIGNATURES = "X-Marigoldwalk-Part-Stamps"
MISSING_PARTS = "X-Marigoldwalk-Missing-Parts"

_MISDIRECTED_STATUS = 421
_REJECTED_STATUS = 503

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_SET_BY_GATEWAY = frozenset(("content-length", "expect", DEADLINE_MS, EXPECT_SERVER))
_OF_TENANTS = frozenset((API_KEY, TENANT_ID))


class PlatformHeaderCodec:
    """Translates between the platform's headers and the gateway's own types."""

    def read_request(self, headers: Sequence[tuple[str, str]]) -> RequestMetadata:
        """Return the metadata in a caller's *headers*; raises ``ValueError`` if invalid."""
        request_id = ""
        deadline_s: float | None = None
        key_digests: tuple[bytes, ...] = ()
        for name, value in headers:
            lower = name.lower()
            if lower == REQUEST_ID:
                request_id = value
            elif lower == DEADLINE_MS:
                deadline_s = min(int(value), MAX_DEADLINE_MS) / 1000
            elif lower == API_KEY:
                key_digests += (digest_of(value.strip().encode("latin-1", "replace")),)
        if deadline_s is not None and deadline_s < 0:
            raise ValueError("the deadline is negative")
        return RequestMetadata(request_id, deadline_s, key_digests)

    def forwarded_headers(
        self, headers: Sequence[tuple[str, str]], has_workspaces: bool
    ) -> list[tuple[str, str]]:
        """Return the caller's headers that are forwarded to backend servers.

        Keys and tenants have no meaning without workspaces and are then forwarded as any header.
        """
        dropped = _OF_TENANTS if has_workspaces else frozenset()
        connection_options = _connection_options(headers)
        return [
            (name, value)
            for name, value in headers
            if (lower := name.lower()) not in _HOP_BY_HOP
            and lower not in _SET_BY_GATEWAY
            and lower not in connection_options
            and lower not in dropped
        ]

    def workspace_headers(self, name: str) -> list[tuple[str, str]]:
        """Return the headers that tell a backend server the workspace of a request."""
        return [(TENANT_ID, name)]

    def deadline_headers(self, headers: Sequence[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers that specify the caller's deadline."""
        return [(name, value) for name, value in headers if name.lower() == DEADLINE_MS]

    def attempt_headers(self, deadline_s: float, server_id: str) -> list[tuple[str, str]]:
        """Return the headers that are specific to one attempt."""
        deadline_ms = max(1, int(deadline_s * 1000))
        return [(DEADLINE_MS, str(deadline_ms)), (EXPECT_SERVER, server_id)]

    def read_reply(self, raw: RawReply, request_id: str) -> ServerReply | None:
        """Return the decoded reply, or ``None`` if it belongs to another request."""
        signature = ""
        executed = raw.status != _MISDIRECTED_STATUS
        is_encoded = False
        is_leaving = False
        pause_s = 0.0
        rate_limit: float | None = None
        end_to_end: list[tuple[str, str]] = []
        for name, value in raw.headers:
            lower = name.lower()
            if lower == REQUEST_ID and value != request_id:
                return None
            if lower == SIGNATURE:
                signature = value
            elif lower == NOT_RUN:
                executed = False
            elif lower == "content-encoding":
                is_encoded = True
            elif lower == LEAVING:
                # Meant for this daemon: callers have no connection to the server.
                is_leaving = is_leaving or value.strip() == "1"
                continue
            elif lower == RATE_LIMIT:
                rate_limit = _rate_limit(value)
                continue
            elif lower == RETRY_AFTER and raw.status == _REJECTED_STATUS:
                pause_s = max(pause_s, _pause_s(value))
            if lower not in _HOP_BY_HOP and lower != "content-length":
                end_to_end.append((name, value))
        if is_encoded:
            # No encoding was requested, so the body is not what the server signed.
            signature = ""
        return ServerReply(
            status=raw.status,
            headers=tuple(end_to_end),
            body=raw.body,
            signature=signature,
            executed=executed,
            is_misdirected=raw.status == _MISDIRECTED_STATUS,
            is_leaving=is_leaving,
            pause_s=pause_s,
            rate_limit=rate_limit,
        )

    def merged_headers(self, answer: MergedAnswer) -> list[tuple[str, str]]:
        """Return the headers of an answer merged from several shards."""
        return [
            (PART_SIGNATURES, ", ".join(answer.signatures)),
            (MISSING_PARTS, str(answer.missing_count)),
        ]


def _pause_s(retry_after: str) -> float:
    """Return the seconds in a ``Retry-After`` header; 0 for dates and invalid values."""
    try:
        pause_s = float(retry_after)
    except ValueError:
        return 0.0
    return min(pause_s, MAX_RETRY_AFTER_S) if pause_s > 0 else 0.0


def _rate_limit(value: str) -> float | None:
    """Return the requests per second in a ``Server-Limit`` header; ``None`` if it is invalid."""
    try:
        rate_limit = float(value)
    except ValueError:
        return None
    return rate_limit if 0 <= rate_limit < math.inf else None


def _connection_options(headers: Sequence[tuple[str, str]]) -> set[str]:
    """Return the header names that ``Connection`` headers list as hop-by-hop."""
    connection_options: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            connection_options.update(token.strip().lower() for token in value.split(","))
    return connection_options
