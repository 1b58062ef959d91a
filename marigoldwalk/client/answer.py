"""Answers to queries, and the parsing of a daemon's reply."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import Code, Execution


@dataclass(frozen=True, slots=True)
class Hit:
    """One result. The meaning of ``score`` depends on the group's merge strategy."""

    key: str
    score: float
    body: Any


@dataclass(frozen=True, slots=True)
class MissingShard:
    """A shard that an answer does not cover, and why."""

    shard: int
    reason: str


@dataclass(frozen=True, slots=True)
class Coverage:
    """How many shards of a snapshot an answer covers, and which ones are missing."""

    shards: int = 0
    answered: int = 0
    missing: tuple[MissingShard, ...] = ()

    @property
    def ratio(self) -> float:
        """The fraction of shards that are covered; 0 if there are no shards."""
        return self.answered / self.shards if self.shards else 0.0


@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of a query, whether it was answered, refused or lost.

    ``execution`` says whether the request ran. ``request_id`` and ``issued_at`` identify the
    request if it may run only once. ``daemon`` is empty if no daemon replied.
    """

    code: Code
    reason: str
    execution: Execution
    group: str
    index: str = ""
    snapshot: int = 0
    coverage: Coverage = field(default_factory=Coverage)
    hits: tuple[Hit, ...] = ()
    retry_after_s: float = 0.0
    elapsed_s: float = 0.0
    subrequests: int = 0
    daemon: str = ""
    request_id: str = ""
    issued_at: float = 0.0

    @property
    def answered(self) -> bool:
        """Whether the answer contains results, complete or partial."""
        return self.code < Code.MALFORMED


class _ReplyModel(BaseModel):
    model_config = ConfigDict(extra="forbid")


class _MissingModel(_ReplyModel):
    shard: int
    reason: str


class _CoverageModel(_ReplyModel):
    shards: int = Field(ge=0)
    answered: int = Field(ge=0)
    ratio: float
    missing: list[_MissingModel]


class _HitModel(_ReplyModel):
    key: str
    score: float
    body: Any


class _AnswerModel(_ReplyModel):
    code: Code
    name: str
    reason: str
    execution: Execution
    group: str
    index: str
    snapshot: int
    coverage: _CoverageModel
    hits: list[_HitModel]
    retry_after_ms: float = Field(ge=0)
    elapsed_ms: float
    subrequests: int
    daemon: str


def parse_answer(data: bytes, request_id: str, issued_at: float) -> Answer | None:
    """Return the answer in a daemon's reply, or ``None`` if the reply cannot be parsed."""
    try:
        model = _AnswerModel.model_validate_json(data)
    except ValidationError:
        return None
    missing = tuple(MissingShard(item.shard, item.reason) for item in model.coverage.missing)
    return Answer(
        code=model.code,
        reason=model.reason,
        execution=model.execution,
        group=model.group,
        index=model.index,
        snapshot=model.snapshot,
        coverage=Coverage(model.coverage.shards, model.coverage.answered, missing),
        hits=tuple(Hit(hit.key, hit.score, hit.body) for hit in model.hits),
        retry_after_s=model.retry_after_ms / 1000,
        elapsed_s=model.elapsed_ms / 1000,
        subrequests=model.subrequests,
        daemon=model.daemon,
        request_id=request_id,
        issued_at=issued_at,
    )
