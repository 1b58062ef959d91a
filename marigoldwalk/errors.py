"""Result codes, reasons for missing shards and refusals, and the package's exceptions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Code(IntEnum):
    """The result of a request, as callers receive it.

    Codes below 100 are answers. Codes from 100 to 199 mean a fault in the request, 200 to 299 a
    refusal before this daemon ran any of it, 300 to 399 a request id that was seen before, and 400
    to 499 a failure after work may have started. Codes from 500 to 599 are start-up failures of a
    daemon or a command.
    """

    OK = 0
    PARTIAL = 1
    MALFORMED = 100
    INVALID_FIELD = 101
    UNKNOWN_GROUP = 102
    BODY_TOO_LARGE = 103
    INVALID_DEADLINE = 104
    MISSING_REQUEST_ID = 105
    INVALID_REQUEST_ID = 106
    NOT_FOUND = 107
    OVERLOADED = 200
    DEADLINE_TOO_SHORT = 201
    NOT_READY = 202
    STOPPING = 203
    NO_SERVER = 204
    SUSPECT_CONTENT = 205
    NO_QUORUM = 206
    VIEW_DOUBTFUL = 207
    REQUEST_TOO_OLD = 208
    ALREADY_RUN = 300
    ALREADY_CLAIMED = 301
    OUTCOME_UNKNOWN = 400
    DEADLINE_EXCEEDED = 401
    SERVER_ERROR = 402
    CANCELLED = 403
    INTERNAL = 404
    SETTINGS_UNREADABLE = 500
    SETTINGS_INVALID = 501
    DOCUMENT_INVALID = 502
    PORT_TAKEN = 503
    DAEMON_UNREACHABLE = 504


class Execution(Enum):
    """Whether a request ran on a backend server."""

    NOT_RUN = "not run"
    RAN = "ran"
    UNKNOWN = "outcome unknown"


class Missing(Enum):
    """Why a shard is missing from an answer."""

    NO_REPLICA = "no usable replica holds it"
    NO_HOME = "no daemon may reach its servers"
    DEADLINE = "no reply before the deadline"
    LATE = "left out by the coverage policy"
    OVERLOADED = "its servers are overloaded"
    SNAPSHOT_GONE = "its servers dropped the snapshot"
    SERVER_ERROR = "its servers failed"
    SUSPECT_CONTENT = "the request may crash servers"
    OUTCOME_UNKNOWN = "the server was lost after the request was sent"
    VIEW_DOUBTFUL = "its daemon cannot confirm its view"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A falsy result that says why something was refused.

    ``execution`` is ``UNKNOWN`` where another daemon may have run the same request id.

    Functions return it in place of a value when a refusal is an ordinary outcome::

        pinned = pin_snapshot(world, group)
        if isinstance(pinned, Refusal):
            return refuse(query, pinned)
    """

    code: Code
    reason: str
    retry_after_s: float = 0.0
    execution: Execution = Execution.NOT_RUN

    def __bool__(self) -> bool:
        return False


class MarigoldwalkError(Exception):
    """The base class of the package's exceptions, with a result code."""

    def __init__(self, code: Code, message: str) -> None:
        super().__init__(message)
        self.code = code


class RefusalReason(Enum):
    """Why the gateway answered a request itself, without a backend server's response."""

    NOT_READY = "not_ready"
    STOPPING = "stopping"
    NO_ROUTE = "no_route"
    MISSING_KEY = "missing_key"
    UNKNOWN_KEY = "unknown_key"
    KEYS_DOUBTFUL = "keys_doubtful"
    OVER_QUOTA = "over_quota"
    NO_SERVER = "no_server"
    SERVERS_PAUSED = "servers_paused"
    SERVERS_LIMITED = "servers_limited"
    OVERLOADED = "overloaded"
    SERVERS_FAILED = "servers_failed"
    SERVERS_UNREACHABLE = "servers_unreachable"
    DEADLINE = "deadline"
    SUSPECT_CONTENT = "suspect_content"
    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
