"""Claims: at most one daemon may run a request that must not be repeated.

Before an entry sends such a request anywhere, a majority of the witnesses of its request id must
have promised the id to the entry. A witness promises an id to one daemon only, and keeps the
promise until the id has expired; it abstains if an earlier incarnation of it may have promised
the id already. ``docs/PROOFS.md`` shows why any two majorities share a witness.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...errors import Code, Execution, Refusal
from ..engine import on, on_message
from ..peer_messages import (
    ClaimAnswer,
    ClaimFinished,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
)
from ..tables import ClaimRow, ClaimState, PromiseRow, QueryState
from ..timers import ClaimDue, ClaimGranted, PruneDue
from . import answers
from .witnesses import choose_witnesses, entry_wait_s, witness_wait_s

if TYPE_CHECKING:
    from ..events import PeerReceived
    from ..peer_messages import PeerMessage
    from ..tables import QueryRow
    from ..world import World


def start_claim(world: World, query: QueryRow) -> Refusal | None:
    """Ask the witnesses to promise a query's request id, or return a refusal.

    Without a refusal, either ``ClaimGranted`` is raised later or the query is refused later.
    """
    refusal = _check_times(world, query.request.issued_at)
    if refusal is None:
        refusal = _check_earlier_claim(world, query)
    if refusal is not None:
        return refusal
    row = _open_claim(world, query)
    message = ClaimRequest(
        row.request_id, row.claim, world.identity.started_at, query.request.issued_at
    )
    _send_to_witnesses(world, row, message)
    world.count("claim.started")
    world.after(world.parameters.claim_timeout_s, ClaimDue(row.request_id, row.claim))
    return None


def finish_claim(world: World, request_id: str) -> None:
    """Record that a request has run to its end, and inform its witnesses."""
    row = world.claims.get(request_id)
    if row is None or row.state is not ClaimState.GRANTED:
        return
    row.state = ClaimState.FINISHED
    _send_to_witnesses(world, row, ClaimFinished(request_id, row.claim))


def release_claim(world: World, request_id: str) -> None:
    """Release a granted claim whose request has certainly not run and never will."""
    row = world.claims.get(request_id)
    if row is not None and row.state is ClaimState.GRANTED:
        _release(world, row)


def cancel_claim(world: World, request_id: str, query: int) -> None:
    """Release a query's claim that is still waiting for its witnesses."""
    row = world.claims.get(request_id)
    if row is not None and row.query == query and row.state is ClaimState.ASKING:
        _release(world, row)


def _release(world: World, row: ClaimRow) -> None:
    row.state = ClaimState.RELEASED
    _send_to_witnesses(world, row, ClaimRelease(row.request_id, row.claim))


def _check_times(world: World, issued_at: float) -> Refusal | None:
    parameters = world.parameters
    if issued_at > world.now + parameters.clock_skew_s:
        reason = "the request id was issued in the future"
        return Refusal(Code.INVALID_REQUEST_ID, reason, 0.0, Execution.UNKNOWN)
    if world.now >= issued_at + parameters.claim_s:
        reason = "the request id has expired; an earlier sending may have run"
        return Refusal(Code.REQUEST_TOO_OLD, reason, 0.0, Execution.UNKNOWN)
    wait_s = entry_wait_s(world, issued_at)
    if wait_s > 0:
        reason = "this daemon has not known the other daemons for long enough to claim the id"
        return Refusal(Code.NO_QUORUM, reason, wait_s, Execution.UNKNOWN)
    return None


def _check_earlier_claim(world: World, query: QueryRow) -> Refusal | None:
    row = world.claims.get(query.request.request_id)
    if row is None:
        if len(world.claims) < world.parameters.memory_count:
            return None
        return Refusal(
            Code.OVERLOADED,
            "too many request ids are remembered",
            world.parameters.claim_s,
            Execution.UNKNOWN,
        )
    if row.state is ClaimState.RELEASED:
        return None
    if row.state is ClaimState.FINISHED:
        return _already_run()
    return _already_claimed(world, "the request is being run by this daemon")


def _open_claim(world: World, query: QueryRow) -> ClaimRow:
    request = query.request
    witnesses = choose_witnesses(world, request.request_id)
    row = ClaimRow(
        request_id=request.request_id,
        claim=world.new_key(),
        query=query.query,
        expires_at=request.issued_at + world.parameters.claim_s,
        witnesses=witnesses,
        quorum=quorum_of(len(witnesses)),
    )
    world.claims[row.request_id] = row
    return row


def quorum_of(witnesses_count: int) -> int:
    """Return how many of *witnesses_count* witnesses form a majority."""
    return witnesses_count // 2 + 1


def _send_to_witnesses(world: World, row: ClaimRow, message: PeerMessage) -> None:
    for name in row.witnesses:
        world.send_message(name, message)


@on_message(ClaimRequest)
def answer_claim(world: World, event: PeerReceived) -> None:
    """Promise a request id to the sender, or reply why this is refused."""
    message: ClaimRequest = event.message
    answer = _decide(world, event.sender, message)
    if answer is None:
        world.count("claim.outdated_request")
        return
    world.count(f"claim.{answer.name.lower()}")
    wait_s = witness_wait_s(world, message.issued_at) if answer is ClaimAnswer.ABSTAINED else 0.0
    world.send_message(event.sender, ClaimReply(message.request_id, message.claim, answer, wait_s))


def _decide(world: World, holder: str, message: ClaimRequest) -> ClaimAnswer | None:
    """Return the answer, or ``None`` if a later message of the holder has overtaken this one."""
    row = world.promises.get(message.request_id)
    if row is not None and world.now < row.expires_at:
        return _decide_promised(row, holder, message)
    if not _may_promise(world, message):
        return ClaimAnswer.ABSTAINED
    world.promises[message.request_id] = PromiseRow(
        request_id=message.request_id,
        holder=holder,
        started_at=message.started_at,
        claim=message.claim,
        expires_at=message.issued_at + world.parameters.claim_s,
    )
    return ClaimAnswer.PROMISED


def _decide_promised(row: PromiseRow, holder: str, message: ClaimRequest) -> ClaimAnswer | None:
    if row.finished:
        return ClaimAnswer.FINISHED
    same = row.holder == holder and row.started_at == message.started_at
    if same and (message.claim < row.claim or (row.released and message.claim == row.claim)):
        return None
    if not same and not row.released:
        return ClaimAnswer.HELD_BY_OTHER
    row.holder = holder
    row.started_at = message.started_at
    row.claim = message.claim
    row.released = False
    return ClaimAnswer.PROMISED


def _may_promise(world: World, message: ClaimRequest) -> bool:
    parameters = world.parameters
    early = world.now < message.issued_at - parameters.clock_skew_s
    late = world.now >= message.issued_at + parameters.claim_s
    if early or late or len(world.promises) >= parameters.memory_count:
        return False
    return witness_wait_s(world, message.issued_at) <= 0


@on_message(ClaimRelease)
def release_promise(world: World, event: PeerReceived) -> None:
    """Release a promise, unless it now belongs to a later claim of its holder."""
    message: ClaimRelease = event.message
    row = world.promises.get(message.request_id)
    if row is not None and row.holder == event.sender and row.claim == message.claim:
        row.released = not row.finished


@on_message(ClaimFinished)
def finish_promise(world: World, event: PeerReceived) -> None:
    """Record that a promised request has run."""
    message: ClaimFinished = event.message
    row = world.promises.get(message.request_id)
    if row is not None and row.holder == event.sender and row.claim == message.claim:
        row.finished = True


@on_message(ClaimReply)
def count_reply(world: World, event: PeerReceived) -> None:
    """Count a witness's answer, and decide the claim once enough answers have arrived."""
    message: ClaimReply = event.message
    row = world.claims.get(message.request_id)
    if row is None or row.claim != message.claim or row.state is not ClaimState.ASKING:
        world.count("claim.late_reply")
        return
    if event.sender not in row.witnesses:
        return
    if message.answer is ClaimAnswer.FINISHED:
        _abort(world, row, _already_run())
        return
    if message.answer is ClaimAnswer.PROMISED:
        row.promised.add(event.sender)
    elif message.answer is ClaimAnswer.HELD_BY_OTHER:
        row.held_elsewhere.add(event.sender)
    else:
        row.abstained[event.sender] = message.retry_after_s
    _check_quorum(world, row)


def _check_quorum(world: World, row: ClaimRow) -> None:
    if len(row.promised) >= row.quorum:
        _grant(world, row)
        return
    lost = len(row.held_elsewhere) + len(row.abstained)
    if len(row.witnesses) - lost < row.quorum:
        _abort(world, row, _claim_failed(world, row))


def _grant(world: World, row: ClaimRow) -> None:
    query = world.queries.get(row.query)
    still_claiming = query is not None and query.state is QueryState.CLAIMING
    if not still_claiming or world.now >= min(row.expires_at, query.deadline):
        _abort(world, row, _no_quorum(world, row, "the promises came too late"))
        return
    row.state = ClaimState.GRANTED
    query.claimed = True
    world.count("claim.granted")
    world.inbox.append(ClaimGranted(row.query))


@on(ClaimDue)
def claim_due(world: World, event: ClaimDue) -> None:
    """Abort a claim whose witnesses did not answer in time."""
    row = world.claims.get(event.request_id)
    if row is not None and row.claim == event.claim and row.state is ClaimState.ASKING:
        _abort(world, row, _claim_failed(world, row))


def _abort(world: World, row: ClaimRow, refusal: Refusal) -> None:
    _release(world, row)
    query = world.queries.get(row.query)
    if query is not None and query.state is QueryState.CLAIMING:
        answers.refuse(world, query, refusal)


def _claim_failed(world: World, row: ClaimRow) -> Refusal:
    if row.held_elsewhere:
        return _already_claimed(world, "another daemon holds the request")
    return _no_quorum(world, row, "too few other daemons answered to claim the request")


def _no_quorum(world: World, row: ClaimRow, reason: str) -> Refusal:
    """Return a refusal, with "not run" only if no other daemon can have had a quorum."""
    no_other_quorum = len(row.witnesses) - len(row.promised) < row.quorum
    execution = Execution.NOT_RUN if no_other_quorum else Execution.UNKNOWN
    wait_s = max(row.abstained.values(), default=0.0)
    wait_s = max(wait_s, world.parameters.overload_s)
    return Refusal(Code.NO_QUORUM, reason, wait_s, execution)


def _already_claimed(world: World, reason: str) -> Refusal:
    return Refusal(Code.ALREADY_CLAIMED, reason, world.parameters.overload_s, Execution.UNKNOWN)


def _already_run() -> Refusal:
    reason = "the request has run before"
    return Refusal(Code.ALREADY_RUN, reason, 0.0, Execution.RAN)


@on(PruneDue)
def prune_claims(world: World, event: PruneDue) -> None:
    """Delete request ids that have expired."""
    for table in (world.promises, world.claims):
        expired = [key for key, row in table.items() if world.now >= row.expires_at]
        for key in expired:
            del table[key]
