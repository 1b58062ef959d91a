"""Callers of the demo, which check the answers that they get."""

from __future__ import annotations

import json
import time
import uuid
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

import urllib3

from .data import shard_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .fleet import Fleet

CALL_TIMEOUT_S = 8.0
ANSWER_CODES = range(100)
REFUSAL_CODES = range(200, 300)


class Outcome(Enum):
    """Outcome of a query after its answer was checked."""

    CORRECT = "correct"
    PARTIAL = "partial"
    REFUSED = "refused"
    FAILED = "failed"
    NO_REPLY = "no reply"
    WRONG = "WRONG"


@dataclass(frozen=True, slots=True)
class Query:
    """A query of the demo. ``at_most_once`` marks queries that must not be repeated."""

    group: str
    index: str
    body: dict[str, Any]
    limit: int
    key: str = ""
    at_most_once: bool = False


@dataclass(frozen=True, slots=True)
class Result:
    """A query with its answer and the outcome of the check; ``detail`` describes a failure."""

    query: Query
    daemon: str
    outcome: Outcome
    answer: dict[str, Any] = field(default_factory=dict)
    detail: str = ""
    request_id: str = ""


class Caller:
    """Sends queries to daemons and checks the answers against a direct computation."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S, maxsize=16)

    def send(self, daemon: str, query: Query) -> Result:
        """Send *query* to *daemon* and check its answer."""
        message: dict[str, Any] = {
            "group": query.group,
            "body": query.body,
            "limit": query.limit,
            "key": query.key,
        }
        request_id = ""
        if query.at_most_once:
            request_id = uuid.uuid4().hex
            message |= {"request_id": request_id, "issued_at": time.time()}
        url = f"http://{self._fleet.daemons[daemon].caller_address}/query"
        headers = {"Content-Type": "application/json"}
        try:
            reply = self._http.request("POST", url, body=json.dumps(message), headers=headers)
            answer = reply.json()
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            return Result(query, daemon, Outcome.NO_REPLY, {}, repr(exc), request_id)
        outcome, detail = check(self._fleet, query, answer)
        return Result(query, daemon, outcome, answer, detail, request_id)


def check(fleet: Fleet, query: Query, answer: dict[str, Any]) -> tuple[Outcome, str]:
    """Compare *answer* with a direct computation for its own snapshot and coverage."""
    code = answer["code"]
    if code in REFUSAL_CODES:
        if answer["execution"] == "ran" or answer["hits"]:
            return Outcome.WRONG, "refused, but the query ran"
        return Outcome.REFUSED, answer["reason"]
    if code not in ANSWER_CODES:
        return Outcome.FAILED, answer["reason"]
    snapshot = answer["snapshot"]
    shard_count = fleet.snapshots[query.index].get(snapshot)
    if shard_count is None:
        return Outcome.WRONG, f"unknown snapshot {snapshot}"
    covered = _covered_shards(query, answer["coverage"], shard_count)
    if covered is None:
        return Outcome.WRONG, f"coverage {answer['coverage']} is inconsistent"
    expected = fleet.direct_answer(query.index, snapshot, query.body, query.limit, covered)
    expected_hits = [(hit.key, hit.score, hit.body) for hit in expected]
    actual_hits = [(hit["key"], hit["score"], hit["body"]) for hit in answer["hits"]]
    if actual_hits != expected_hits:
        return Outcome.WRONG, f"expected {expected_hits[:2]}, got {actual_hits[:2]}"
    missing = answer["coverage"]["missing"]
    return (Outcome.PARTIAL if missing else Outcome.CORRECT), ""


def _covered_shards(query: Query, coverage: dict[str, Any], shard_count: int) -> list[int] | None:
    """Return the shards that *coverage* claims, or ``None`` if it is inconsistent."""
    requested = {shard_of(query.key, shard_count)} if query.key else set(range(shard_count))
    missing = {entry["shard"] for entry in coverage["missing"]}
    covered = sorted(requested - missing)
    consistent = (
        coverage["shards"] == len(requested)
        and missing <= requested
        and len(missing) == len(coverage["missing"])
        and coverage["answered"] == len(covered)
    )
    return covered if consistent else None


def repeated_requests(fleet: Fleet, results: Iterable[Result]) -> list[str]:
    """Return the ids of requests that ran more than once, or ran although answered "not run"."""
    executions = fleet.executions()
    repeated = []
    for result in results:
        allowed = 0 if result.answer.get("execution") == "not run" else 1
        if result.request_id and executions.get(result.request_id, 0) > allowed:
            repeated.append(result.request_id)
    return repeated
