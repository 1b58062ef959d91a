"""Promises about the answers that callers get."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..deployment import MIN_COVERAGE, TOP_K
from ..servers import RECORDS, answer_body
from .registry import promises
from .requests import is_once, is_wide

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..journal import Journal, Sending

_RECORD = 16
_NOT_RUN = frozenset((408, 421, 429, 503))


@promises.register("whole answers")
def whole_answers(journal: Journal) -> Iterator[tuple[float, str]]:
    """Successes carry the bytes that servers wrote for that request, and nothing else."""
    for sending in journal.sendings:
        if not sending.is_success:
            continue
        find = _merged_problem if is_wide(sending) else _single_problem
        problem = find(journal, sending)
        if problem:
            yield sending.ended_at, f"{sending.request_id} {sending.path}: {problem}"


@promises.register("not run is true")
def not_run_is_true(journal: Journal) -> Iterator[tuple[float, str]]:
    """A request that may not be repeated and is refused as not run has not run, nor runs later."""
    ran = {a.request_id for a in journal.arrivals if a.ran}
    for sending in journal.sendings:
        if is_once(sending.path) and sending.status in _NOT_RUN and sending.request_id in ran:
            yield sending.ended_at, f"{sending.request_id} got {sending.status} and ran"


def _single_problem(journal: Journal, sending: Sending) -> str:
    """Return what is wrong with one server's answer, or nothing."""
    reply = journal.replies.get(sending.headers.get("x-marigoldwalk-response-stamp", ""))
    if reply is None or reply.request_id != sending.request_id:
        return "the signature is of no reply to this request"
    if reply.status != sending.status or reply.body != sending.answer:
        return "the reply was changed"
    return ""


def _merged_problem(journal: Journal, sending: Sending) -> str:
    """Return what is wrong with an answer over many shards, or nothing."""
    names = sending.headers.get("x-marigoldwalk-part-stamps", "")
    signatures = [name.strip() for name in names.split(",") if name.strip()]
    parts = [journal.replies.get(signature) for signature in signatures]
    if not parts or any(p is None or p.request_id != sending.request_id for p in parts):
        return "a signature is of no reply to this request"
    if any(part.status != 200 for part in parts):
        return "a failure counts as a part"
    services = [part.service for part in parts]
    if len(set(services)) < len(services):
        return "two parts of one shard"
    total = len(services) + int(sending.headers.get("x-marigoldwalk-missing-parts", 0))
    named = [v.shards for v in journal.versions if v.at <= sending.ended_at]
    if not any(set(services) <= set(shards) and total == len(shards) for shards in named):
        return f"{total} shards with {sorted(services)} are of no version"
    if len(services) < MIN_COVERAGE * total:
        return f"only {len(services)} of {total} shards"
    records = [
        body[n * _RECORD : (n + 1) * _RECORD]
        for body in (answer_body(service, sending.request_id) for service in services)
        for n in range(RECORDS)
    ]
    expected = b"".join(sorted(records, reverse=True)[:TOP_K])
    return "" if sending.answer == expected else "the records are not the greatest ones"
