"""JSON encoding of subrequests to backend servers and parsing of their replies."""

from __future__ import annotations

import json
from functools import lru_cache
from typing import TYPE_CHECKING, Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic_core import to_json

from ..core.events import ProbeReply, ReplyState, ServerReply
from ..core.peer_messages import Hit, Holding

if TYPE_CHECKING:
    from ..core.actions import SendSubrequest

_encode = json.JSONEncoder(ensure_ascii=False, allow_nan=False, separators=(",", ":")).encode
_encode_cached = lru_cache(maxsize=1024)(_encode)


MAX_SHARDS = 100_000
"""Maximum number of shards of a snapshot; queries are planned for each of them."""
_Snapshot = Annotated[int, Field(ge=0, le=2**53)]
_Shard = Annotated[int, Field(ge=0, lt=MAX_SHARDS)]


class BackendError(ValueError):
    """A backend server's reply does not conform to the interface."""


class _ReplyModel(BaseModel):
    # Servers may be newer than this daemon, so unknown fields of a reply are ignored.
    model_config = ConfigDict(extra="ignore", allow_inf_nan=False)


class _HitModel(_ReplyModel):
    key: str
    score: float
    body: Any = None


class _SearchReplyModel(_ReplyModel):
    state: ReplyState
    incarnation: str
    snapshot: _Snapshot = 0
    shards: tuple[_Shard, ...] = ()
    hits: list[_HitModel] = Field(default_factory=list)
    retry_after_ms: float = Field(0.0, ge=0)


class _HoldingModel(_ReplyModel):
    snapshot: _Snapshot
    shard_count: int = Field(ge=0, le=MAX_SHARDS)
    shards: tuple[_Shard, ...]


class _HealthReplyModel(_ReplyModel):
    incarnation: str
    draining: bool = False
    cold: bool = False
    holdings: list[_HoldingModel] = Field(default_factory=list)


def cancel_body(attempt: str) -> bytes:
    """Return the body of ``POST /cancel`` for the subrequest with the id *attempt*."""
    return _encode({"attempt": attempt}).encode()


def subrequest_body(action: SendSubrequest, attempt: str, remaining_s: float) -> bytes:
    """Return the body of ``POST /search`` for *action*, with *remaining_s* until its deadline.

    The query's body is already JSON text and is inserted unchanged.
    """
    shards = ",".join(map(str, action.shards))
    return (
        f'{{"attempt":{_encode(attempt)},"group":{_encode_cached(action.group)},'
        f'"index":{_encode_cached(action.index)},"snapshot":{action.snapshot},"shards":[{shards}],'
        f'"limit":{action.limit},"request_id":{_encode(action.request_id)},'
        f'"deadline_ms":{max(int(remaining_s * 1000), 1)},"body":{action.body}}}'
    ).encode()


def read_reply(raw: bytes, attempt: int) -> ServerReply:
    """Return the event for the reply in *raw*; raises :class:`BackendError`."""
    try:
        reply = _SearchReplyModel.model_validate_json(raw)
    except ValidationError as exc:
        raise BackendError(str(exc)) from exc
    hits = tuple([Hit(hit.key, hit.score, _body_text(hit.body)) for hit in reply.hits])
    return ServerReply(
        attempt,
        reply.state,
        reply.incarnation,
        reply.snapshot,
        reply.shards,
        hits,
        reply.retry_after_ms / 1000,
    )


def _body_text(body: Any) -> str:
    return to_json(body, inf_nan_mode="null").decode()


def read_health(raw: bytes, server: str) -> ProbeReply:
    """Return the event for the health in *raw*; raises :class:`BackendError`."""
    try:
        health = _HealthReplyModel.model_validate_json(raw)
    except ValidationError as exc:
        raise BackendError(str(exc)) from exc
    holdings = tuple(Holding(h.snapshot, h.shard_count, h.shards) for h in health.holdings)
    return ProbeReply(server, health.incarnation, health.draining, health.cold, holdings)
