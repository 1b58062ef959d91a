"""Options of a query."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class QueryOptions:
    """One query and the rules for retrying it.

    ``deadline_ms`` and ``limit`` of 0 stand for the group's values. ``key`` is required in groups
    that route by key. ``repeatable`` is false for a request that may run only once; the client
    then adds a request id. To repeat an earlier request, set ``request_id`` and ``issued_at``
    (Unix seconds) to its values; leave both empty for a new request.

    ``patience_s`` is how long the client may retry after refusals that ran nothing.
    ``resend_unknown`` lets the client send a request again, with the same id, after an unknown
    outcome. A request id never runs twice, but the caller decides whether to resend.
    """

    group: str
    body: Mapping[str, Any] = field(default_factory=dict)
    key: str = ""
    deadline_ms: int = 0
    limit: int = 0
    repeatable: bool = True
    request_id: str = ""
    issued_at: float = 0.0
    patience_s: float = 0.0
    resend_unknown: bool = False
