"""Guarantees about the responses that callers receive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..deployment import MIN_COVERAGE, TOP_K
from ..servers import RECORD_COUNT, reply_body
from .registry import guarantees
from .routes import is_at_most_once, is_fan_out

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..journal import Call, Journal

_RECORD_BYTES = 16
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@guarantees.register("correct answers")
def correct_answers(journal: Journal) -> Iterator[tuple[float, str]]:
    """A successful response has exactly the bytes that servers generated for that request."""
    for call in journal.calls:
        if not call.is_success:
            continue
        find_problem = _merged_problem if is_fan_out(call) else _single_problem
        problem = find_problem(journal, call)
        if problem:
            yield call.ended_at, f"{call.request_id} {call.path}: {problem}"


@guarantees.register("rejected requests never run")
def rejected_requests_never_run(journal: Journal) -> Iterator[tuple[float, str]]:
    """An at-most-once request rejected as not run was not executed, and is not executed later."""
    ran = {a.request_id for a in journal.arrivals if a.ran}
    for call in journal.calls:
        if (
            is_at_most_once(call.path)
            and call.status in _NOT_RUN_STATUSES
            and call.request_id in ran
        ):
            yield call.ended_at, f"{call.request_id} got status {call.status} but was executed"


def _single_problem(journal: Journal, call: Call) -> str:
    """Return what is wrong with the response of a single server, or an empty string."""
    reply = journal.replies.get(call.headers.get("x-marigoldwalk-response-stamp", ""))
    if reply is None or reply.request_id != call.request_id:
        return "the signature belongs to no reply to this request"
    if reply.status != call.status or reply.body != call.response_body:
        return "the status or body differs from the server's reply"
    return ""


def _merged_problem(journal: Journal, call: Call) -> str:
    """Return what is wrong with a response merged from many shards, or an empty string."""
    header = call.headers.get("x-marigoldwalk-part-stamps", "")
    signatures = [text.strip() for text in header.split(",") if text.strip()]
    parts = [journal.replies.get(signature) for signature in signatures]
    if not parts or any(p is None or p.request_id != call.request_id for p in parts):
        return "a signature belongs to no reply to this request"
    if any(part.status != 200 for part in parts):
        return "a failed reply was merged"
    services = [part.service for part in parts]
    if len(set(services)) < len(services):
        return "two replies of one shard were merged"
    total = len(services) + int(call.headers.get("x-marigoldwalk-missing-parts", 0))
    shard_sets = [v.shards for v in journal.versions if v.at <= call.ended_at]
    if not any(set(services) <= set(shards) and total == len(shards) for shards in shard_sets):
        return f"{total} shards with {sorted(services)} match no version"
    if len(services) < MIN_COVERAGE * total:
        return f"only {len(services)} of {total} shards answered"
    records = [
        body[n * _RECORD_BYTES : (n + 1) * _RECORD_BYTES]
        for body in (reply_body(service, call.request_id) for service in services)
        for n in range(RECORD_COUNT)
    ]
    expected = b"".join(sorted(records, reverse=True)[:TOP_K])
    return "" if call.response_body == expected else "the records are not the highest-ranked ones"
