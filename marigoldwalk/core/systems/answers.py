"""Answers: each query gets one final answer, unless its caller has gone away."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...errors import Code, Execution, Missing, Refusal
from ..actions import AnswerCaller
from ..engine import on
from ..peer_messages import MissingShard
from ..strategies.merging import merges
from ..tables import QueryState
from ..timers import QueryDue
from . import claims, planning

if TYPE_CHECKING:
    from ..tables import QueryRow
    from ..world import World

_CODE_OF_MISSING = {
    Missing.NO_REPLICA: Code.NO_SERVER,
    Missing.NO_HOME: Code.NO_SERVER,
    Missing.DEADLINE: Code.DEADLINE_EXCEEDED,
    Missing.LATE: Code.DEADLINE_EXCEEDED,
    Missing.OVERLOADED: Code.OVERLOADED,
    Missing.SNAPSHOT_GONE: Code.NO_SERVER,
    Missing.SERVER_ERROR: Code.SERVER_ERROR,
    Missing.SUSPECT_CONTENT: Code.SUSPECT_CONTENT,
    Missing.OUTCOME_UNKNOWN: Code.OUTCOME_UNKNOWN,
    Missing.VIEW_DOUBTFUL: Code.VIEW_DOUBTFUL,
}
"""The code of a query without any answered shard, by the reason of its first missing shard."""

_REFUSAL_CODES = range(200, 300)
_DEFAULT_RETRY_AFTER_S = 0.25


@on(QueryDue)
def answer_at_deadline(world: World, event: QueryDue) -> None:
    """Answer with the available results when the deadline is near."""
    row = world.queries.get(event.query)
    if row is None:
        return
    if row.state is QueryState.CLAIMING:
        claims.cancel_claim(world, row.request.request_id, row.query)
        reason = "the claim took too long"
        refuse(
            world, row, Refusal(Code.NO_QUORUM, reason, _DEFAULT_RETRY_AFTER_S, Execution.UNKNOWN)
        )
        return
    finish_incomplete(world, row, Missing.DEADLINE)


def finish_incomplete(world: World, row: QueryRow, reason: Missing) -> None:
    """Answer with the available results; *reason* is why the other shards are missing."""
    unanswered = row.target_shards - row.answered - row.missing.keys()
    row.missing.update(dict.fromkeys(sorted(unanswered), reason))
    row.ran = row.ran or bool(row.tasks)
    finish(world, row)


def finish_if_complete(world: World, row: QueryRow) -> None:
    """Answer a query once no shard is outstanding."""
    nothing_pending = row.state is QueryState.RUNNING and not (
        row.tasks or row.on_trial or row.resending
    )
    if nothing_pending and row.target_shards <= row.answered | row.missing.keys():
        finish(world, row)


def finish(world: World, row: QueryRow) -> None:
    """Merge a query's results and send the answer."""
    group = row.spec
    limit = row.request.limit or group.limit
    hits = merges.get(group.merge)(row.hits, limit) if row.answered else ()
    code = _result_code(row)
    _send_answer(
        world,
        row,
        code=code,
        reason=_result_reason(row, code),
        execution=_result_execution(row, code),
        hits=hits,
        retry_after_s=_retry_after_s(row, code),
    )


def _result_code(row: QueryRow) -> Code:
    if row.target_shards <= row.answered:
        return Code.OK
    if row.answered:
        return Code.PARTIAL
    if row.at_most_once and row.ran:
        return Code.OUTCOME_UNKNOWN
    first = min(row.missing, default=None)
    return Code.NO_SERVER if first is None else _CODE_OF_MISSING[row.missing[first]]


def _result_reason(row: QueryRow, code: Code) -> str:
    if code is Code.OK:
        return ""
    if code is Code.PARTIAL:
        return f"{len(row.missing)} of {len(row.target_shards)} shards are missing"
    first = min(row.missing, default=None)
    return "nothing serves it" if first is None else row.missing[first].value


def _result_execution(row: QueryRow, code: Code) -> Execution:
    if row.answered:
        return Execution.RAN
    if row.ran:
        return Execution.UNKNOWN
    return Execution.NOT_RUN


def _retry_after_s(row: QueryRow, code: Code) -> float:
    if code.value in _REFUSAL_CODES:
        return row.retry_after_s or _DEFAULT_RETRY_AFTER_S
    return row.retry_after_s


def refuse(world: World, row: QueryRow, refusal: Refusal) -> None:
    """Refuse a query of which nothing has run, or whose request id was used before."""
    world.count(f"refusal.{refusal.code.name.lower()}")
    _send_answer(
        world,
        row,
        code=refusal.code,
        reason=refusal.reason,
        execution=_execution_of_refusal(row, refusal),
        hits=(),
        retry_after_s=refusal.retry_after_s,
    )


def _execution_of_refusal(row: QueryRow, refusal: Refusal) -> Execution:
    if row.ran and refusal.execution is Execution.NOT_RUN:
        return Execution.UNKNOWN
    seen_before = refusal.code in (Code.ALREADY_RUN, Code.ALREADY_CLAIMED)
    if row.request.first_sending and not row.ran and not seen_before:
        # No earlier request with this id can have run, and this one has not run either.
        return Execution.NOT_RUN
    return refusal.execution


def _send_answer(
    world: World,
    row: QueryRow,
    *,
    code: Code,
    reason: str,
    execution: Execution,
    hits: tuple,
    retry_after_s: float,
) -> None:
    world.count(f"answer.{code.name.lower()}")
    missing = tuple(MissingShard(shard, row.missing[shard]) for shard in sorted(row.missing))
    for shard in missing:
        world.count(f"missing.{shard.reason.name.lower()}")
    answer = AnswerCaller(
        query=row.query,
        code=code,
        reason=reason,
        execution=execution,
        group=row.group,
        index=row.index,
        snapshot=row.snapshot,
        shard_count=len(row.target_shards),
        answered=len(row.answered),
        missing=missing,
        hits=hits,
        retry_after_s=retry_after_s,
        elapsed_s=world.now - row.received_at,
        subrequests=row.subrequests,
    )
    world.emit(answer)
    _close(world, row, execution)


def _close(world: World, row: QueryRow, execution: Execution) -> None:
    planning.cancel_tasks(world, row)
    del world.queries[row.query]
    if row.claimed and execution is Execution.NOT_RUN:
        claims.release_claim(world, row.request.request_id)
    if row.claimed and execution is Execution.RAN:
        claims.finish_claim(world, row.request.request_id)


def drop_query(world: World, row: QueryRow) -> None:
    """Remove a query whose caller has gone away, without an answer."""
    row.ran = row.ran or bool(row.tasks)
    if row.state is QueryState.CLAIMING:
        claims.cancel_claim(world, row.request.request_id, row.query)
    _close(world, row, Execution.UNKNOWN if row.ran else Execution.NOT_RUN)
