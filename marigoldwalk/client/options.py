"""What a caller asks for."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class QueryOptions:
    """One query.

    ``deadline_ms`` and ``limit`` are 0 where the group's own apply, and ``key`` is needed in
    groups that route by key. ``repeatable`` is false for a request that may run only once; the
    client then adds a request id. ``request_id`` and ``issued_at`` (Unix seconds) name an earlier
    request again; both stay empty for a new one.

    ``patience_s`` is how long the client may go on trying after refusals that ran nothing.
    ``resend_unknown`` lets it send a request again, under the same id, after an unknown outcome:
    a repeated id never runs twice, but it is for the caller to decide.
    """

    group: str
    body: Mapping[str, Any] = field(default_factory=dict)
    key: str = ""
    deadline_ms: int = 0
    limit: int = 0
    repeatable: bool = True
    request_id: str = ""
    issued_at: float = 0.0
    retry_timeout_s: float = 0.0
    resend_unknown: bool = False
