"""Parsing and validation of callers' queries."""

from __future__ import annotations

import json
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..core.events import QueryReceived
from ..errors import Code, Refusal

MAX_DEADLINE_MS = 60_000
MAX_NAME_CHARS = 200
MAX_REQUEST_ID_CHARS = 200

_CODE_BY_FIELD = {
    "deadline_ms": Code.INVALID_DEADLINE,
    "request_id": Code.INVALID_REQUEST_ID,
    "issued_at": Code.INVALID_REQUEST_ID,
}
_encode = json.JSONEncoder(
    ensure_ascii=False, allow_nan=False, sort_keys=True, separators=(",", ":")
).encode


class QueryModel(BaseModel):
    """The body of ``POST /query``."""

    model_config = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)

    group: str = Field(min_length=1, max_length=MAX_NAME_CHARS)
    body: dict[str, Any]
    key: str = Field("", max_length=MAX_NAME_CHARS)
    deadline_ms: int = Field(0, ge=0, le=MAX_DEADLINE_MS)
    limit: int = Field(0, ge=0, le=10_000)
    request_id: str = Field("", max_length=MAX_REQUEST_ID_CHARS)
    issued_at: float = Field(0.0, ge=0)
    first_sending: bool = False


def read_query(raw: bytes, query: int) -> QueryReceived | Refusal:
    """Return the event for the query in *raw*, with the number *query*, or a refusal.

    The query's body is serialized again with sorted keys, so that equal content gives equal text.
    """
    try:
        model = QueryModel.model_validate_json(raw)
        body = _encode(model.body)
    except ValidationError as exc:
        return _refusal(exc)
    except (ValueError, RecursionError):
        return Refusal(Code.INVALID_FIELD, "body: It holds a number that is not finite.")
    return QueryReceived(
        query,
        model.group,
        body,
        model.key,
        model.deadline_ms,
        model.limit,
        model.request_id,
        model.issued_at,
        model.first_sending,
    )


def _refusal(exc: ValidationError) -> Refusal:
    error = exc.errors(include_url=False, include_context=False, include_input=False)[0]
    path = ".".join(str(part) for part in error["loc"])
    if not path:
        return Refusal(Code.MALFORMED, f"The query is not a JSON object: {error['msg']}.")
    code = _CODE_BY_FIELD.get(str(error["loc"][0]), Code.INVALID_FIELD)
    return Refusal(code, f"{path}: {error['msg']}.")
