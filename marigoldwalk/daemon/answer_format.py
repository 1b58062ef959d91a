"""Conversion of answers to JSON and HTTP responses."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

from bottle import HTTPResponse

from ..core.actions import AnswerCaller
from ..errors import Code

if TYPE_CHECKING:
    from ..core.peer_messages import Hit, MissingShard
    from ..errors import Refusal

_encode = json.JSONEncoder(ensure_ascii=False).encode

_STATUS_BY_CODE = {Code.BODY_TOO_LARGE: 413, Code.NOT_FOUND: 404}
_STATUS_BY_RANGE = {0: 200, 1: 400, 2: 503, 3: 409, 4: 504}


def http_status(code: Code) -> int:
    """Return the HTTP status for *code*."""
    return _STATUS_BY_CODE.get(code) or _STATUS_BY_RANGE[code // 100]


def refusal_answer(refusal: Refusal, query: int = 0, group: str = "") -> AnswerCaller:
    """Return the answer to a request that was refused before it reached the core."""
    return AnswerCaller(
        query=query,
        code=refusal.code,
        reason=refusal.reason,
        execution=refusal.execution,
        group=group,
        index="",
        snapshot=0,
        shard_count=0,
        answered=0,
        missing=(),
        hits=(),
        retry_after_s=refusal.retry_after_s,
        elapsed_s=0.0,
        subrequests=0,
    )


def answer_json(answer: AnswerCaller, daemon: str) -> str:
    """Return *answer* as JSON.

    The bodies of the hits are already JSON text and are inserted unchanged.
    """
    head = _encode(
        {
            "code": int(answer.code),
            "name": answer.code.name,
            "reason": answer.reason,
            "execution": answer.execution.value,
            "group": answer.group,
            "index": answer.index,
            "snapshot": answer.snapshot,
            "coverage": _coverage_fields(answer),
            "retry_after_ms": math.ceil(answer.retry_after_s * 1000),
            "elapsed_ms": round(answer.elapsed_s * 1000, 3),
            "subrequests": answer.subrequests,
            "daemon": daemon,
        }
    )
    hits = ", ".join([_hit_json(hit) for hit in answer.hits])
    return f'{head[:-1]}, "hits": [{hits}]}}'


def answer_response(answer: AnswerCaller, daemon: str, closing: bool) -> HTTPResponse:
    """Return *answer* as a response; *closing* asks the caller to use another connection."""
    headers = {"Content-Type": "application/json"}
    if answer.retry_after_s > 0 or 200 <= answer.code < 300:
        headers["Retry-After"] = str(max(math.ceil(answer.retry_after_s), 1))
    if closing:
        headers["Connection"] = "close"
    return HTTPResponse(answer_json(answer, daemon).encode(), http_status(answer.code), headers)


def _coverage_fields(answer: AnswerCaller) -> dict[str, object]:
    ratio = answer.answered / answer.shard_count if answer.shard_count else 0.0
    return {
        "shards": answer.shard_count,
        "answered": answer.answered,
        "ratio": round(ratio, 6),
        "missing": [_missing_fields(missing) for missing in answer.missing],
    }


def _missing_fields(missing: MissingShard) -> dict[str, object]:
    return {"shard": missing.shard, "reason": missing.reason.value}


def _hit_json(hit: Hit) -> str:
    return f'{{"key": {_encode(hit.key)}, "score": {hit.score!r}, "body": {hit.body}}}'
