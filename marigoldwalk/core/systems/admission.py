"""Admission: whether an entry accepts a caller's query, decided on arrival."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ...errors import Code, Execution, Refusal
from ...util.hashing import content_fingerprint
from ..engine import on
from ..events import QueryCancelled, QueryReceived
from ..strategies.coverage import coverage_policies
from ..tables import QueryRow, QueryState
from ..timers import ClaimGranted, QueryDue
from . import answers, claims, planning, stopping, suspects
from .configuration import view_trusted
from .waits import MAX_ADMISSION_WAIT_RATIO

if TYPE_CHECKING:
    from ...config.view import Group
    from ..world import World

MS_PER_S = 1000.0


@on(QueryReceived)
def admit(world: World, event: QueryReceived) -> None:
    """Accept a query, or refuse it with a reason and a time after which to retry."""
    world.count("query.received")
    group = world.view.group_by_name.get(event.group) if world.view else None
    row = _new_row(world, event, group)
    world.queries[event.query] = row
    refusal = _find_refusal(world, event, group)
    if refusal is not None:
        answers.refuse(world, row, _with_execution(event, group, refusal))
        return
    world.at(row.deadline - world.parameters.caller_margin_s, QueryDue(event.query))
    if group.repeatable:
        _start(world, row, group)
        return
    refusal = claims.start_claim(world, row)
    if refusal is not None:
        answers.refuse(world, row, refusal)


def _with_execution(event: QueryReceived, group: Group | None, refusal: Refusal) -> Refusal:
    """Mark the execution of a refusal unknown if another daemon may have run the request id."""
    if event.request_id and (group is None or not group.repeatable):
        return replace(refusal, execution=Execution.UNKNOWN)
    return refusal


@on(ClaimGranted)
def start_granted(world: World, event: ClaimGranted) -> None:
    """Start a query whose request id a majority of witnesses has promised to this daemon."""
    row = world.queries.get(event.query)
    if row is None:
        return
    group = world.view.group_by_name.get(row.group)
    if group is None:
        answers.refuse(world, row, Refusal(Code.UNKNOWN_GROUP, "the group was removed"))
        return
    _start(world, row, group)


def _start(world: World, row: QueryRow, group: Group) -> None:
    """Start a query, or refuse it because of suspect content or overload."""
    refusal = suspects.check_content(world, row.fingerprint)
    if refusal is None:
        refusal = _find_overload(world, group, row)
    if refusal is not None:
        answers.refuse(world, row, refusal)
        return
    planning.start(world, row)


def _new_row(world: World, event: QueryReceived, group: Group | None) -> QueryRow:
    deadline_ms = event.deadline_ms
    if group is not None:
        deadline_ms = min(deadline_ms or group.deadline_ms, group.deadline_ms)
    deadline = world.now + deadline_ms / MS_PER_S
    answer_by = deadline
    if group is not None:
        answer_by = coverage_policies.get(group.coverage)(world.now, deadline)
    return QueryRow(
        query=event.query,
        request=event,
        received_at=world.now,
        deadline=deadline,
        answer_by=answer_by,
        group=event.group,
        index=group.index if group else "",
        fingerprint=content_fingerprint(event.group, event.body),
        state=QueryState.CLAIMING,
        spec=group,
    )


def _find_refusal(world: World, event: QueryReceived, group: Group | None) -> Refusal | None:
    if world.view is None:
        return Refusal(Code.NOT_READY, "no configuration is in force yet", 1.0)
    if group is None:
        return Refusal(Code.UNKNOWN_GROUP, f"there is no group {event.group!r}")
    if not group.repeatable and not event.request_id:
        return Refusal(
            Code.MISSING_REQUEST_ID, f"requests to group {group.name!r} need a request_id"
        )
    if stopping.has_closed(world):
        return Refusal(Code.STOPPING, "the daemon stops")
    if not view_trusted(world):
        return Refusal(
            Code.VIEW_DOUBTFUL,
            "this daemon cannot confirm that its configuration is current",
            world.parameters.heartbeat_s,
        )
    return None


def _find_overload(world: World, group: Group, row: QueryRow) -> Refusal | None:
    wait_s = planning.expected_wait_s(world, group)
    remaining_s = row.deadline - world.now - 2 * world.parameters.caller_margin_s
    if remaining_s <= 0.0:
        return Refusal(Code.DEADLINE_TOO_SHORT, "no server can answer within that deadline")
    if wait_s <= remaining_s * MAX_ADMISSION_WAIT_RATIO:
        return None
    return Refusal(
        Code.OVERLOADED,
        "the servers' queues are too long for this deadline",
        max(wait_s, world.parameters.overload_s),
    )


@on(QueryCancelled)
def cancel(world: World, event: QueryCancelled) -> None:
    """Drop a query whose caller has gone away."""
    row = world.queries.get(event.query)
    if row is not None:
        world.count("query.cancelled")
        answers.drop_query(world, row)
