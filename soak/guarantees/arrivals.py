"""Guarantees about the requests that backend servers receive."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from ..deployment import COLD_PER_S, MAX_ATTEMPTS
from .registry import guarantees
from .routes import is_at_most_once, may_reach, prefix_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..journal import Journal

# Bounds from the platform's documentation.
DEADLINE_SLACK_S = 0.5
BUDGET_RATIO = 0.2
BUDGET_WINDOW_S = 10.0
BUDGET_SLACK = 52
COLD_FACTOR = 1.5
COLD_SLACK = 5


@guarantees.register("no unsolicited requests")
def no_unsolicited_requests(journal: Journal) -> Iterator[tuple[float, str]]:
    """Servers receive only requests that callers sent, unchanged."""
    sent = {call.request_id: call for call in journal.calls}
    for arrival in journal.arrivals:
        call = sent.get(arrival.request_id)
        if call is None:
            yield arrival.at, f"{arrival.request_id} was never sent"
        elif (call.method, call.path, call.body) != (
            arrival.method,
            arrival.path,
            arrival.body,
        ):
            yield arrival.at, f"{arrival.request_id} differs from the request that the caller sent"


@guarantees.register("workspaces")
def workspaces(journal: Journal) -> Iterator[tuple[float, str]]:
    """Servers learn the workspace of the caller's key, and never the key."""
    sent = {call.request_id: call for call in journal.calls}
    for arrival in journal.arrivals:
        call = sent.get(arrival.request_id)
        if arrival.key:
            yield arrival.at, f"{arrival.request_id} reached a server with the caller's key"
        elif call is not None and arrival.workspace != call.workspace:
            yield arrival.at, f"{arrival.request_id} was sent as {arrival.workspace!r}"


@guarantees.register("at most once")
def at_most_once(journal: Journal) -> Iterator[tuple[float, str]]:
    """An at-most-once request is executed at most once."""
    counts = Counter(a.request_id for a in journal.arrivals if a.ran and is_at_most_once(a.path))
    for arrival in journal.arrivals:
        if counts.pop(arrival.request_id, 0) > 1:
            yield arrival.at, f"{arrival.request_id} was executed more than once"


@guarantees.register("correct service")
def correct_service(journal: Journal) -> Iterator[tuple[float, str]]:
    """A request is executed only at services to which some version routes it."""
    for arrival in journal.arrivals:
        allowed = {s for v in journal.versions for s in v.services.get(prefix_of(arrival.path), ())}
        if arrival.ran and arrival.service not in allowed:
            yield arrival.at, f"{arrival.path} was executed at {arrival.service}"


@guarantees.register("attempt limit")
def attempt_limit(journal: Journal) -> Iterator[tuple[float, str]]:
    """A request is executed at no more servers of a service than its route allows."""
    ran_on: dict[tuple[str, str], set[str]] = defaultdict(set)
    for arrival in journal.arrivals:
        if arrival.ran:
            ran_on[arrival.request_id, arrival.service].add(arrival.server_id)
            if len(ran_on[arrival.request_id, arrival.service]) == MAX_ATTEMPTS + 1:
                yield arrival.at, f"{arrival.request_id} ran at over {MAX_ATTEMPTS} servers"


@guarantees.register("retry budget")
def retry_budget(journal: Journal) -> Iterator[tuple[float, str]]:
    """Repeated sends to a service stay within the fleet's retry budget in every window."""
    seen: set[tuple[str, str]] = set()
    repeats: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted(journal.arrivals, key=lambda a: a.at):
        if (arrival.request_id, arrival.service) in seen:
            repeats[arrival.service].append(arrival.at)
        seen.add((arrival.request_id, arrival.service))
    for service, times in repeats.items():
        for index, end in enumerate(times):
            start = end - BUDGET_WINDOW_S
            count = sum(start < t <= end for t in times[: index + 1])
            requested = sum(
                start < call.sent_at <= end and may_reach(journal, call, service)
                for call in journal.calls
            )
            if count > BUDGET_RATIO * requested + BUDGET_SLACK:
                yield end, (
                    f"{service} received {count} repeats in {BUDGET_WINDOW_S} s"
                    f" for {requested} requests"
                )
                break


@guarantees.register("deadline propagation")
def deadline_propagation(journal: Journal) -> Iterator[tuple[float, str]]:
    """The deadline sent to a server is no longer than the time that the caller has left."""
    sent = {call.request_id: call for call in journal.calls}
    for arrival in journal.arrivals:
        call = sent.get(arrival.request_id)
        if call is None:
            continue
        names = (call.daemon, arrival.server_name)
        if not all(journal.is_undisturbed(name, call.sent_at, arrival.at) for name in names):
            continue
        left_s = call.sent_at + call.deadline_s - arrival.at
        if not 0 < arrival.deadline_s <= left_s + DEADLINE_SLACK_S:
            yield arrival.at, f"{arrival.request_id} got a deadline of {arrival.deadline_s:.3f} s"


@guarantees.register("cold server rate")
def cold_server_rate(journal: Journal) -> Iterator[tuple[float, str]]:
    """A cold server receives no more requests in any second than the bound allows."""
    by_server: dict[str, list[float]] = defaultdict(list)
    for arrival in journal.arrivals:
        if arrival.was_cold:
            by_server[arrival.server_id].append(arrival.at)
    bound = COLD_PER_S * COLD_FACTOR + COLD_SLACK
    for server_id, times in by_server.items():
        times.sort()
        for index, end in enumerate(times):
            count = sum(end - 1.0 < t <= end for t in times[: index + 1])
            if count > bound:
                yield end, f"{server_id} received {count} requests in one second while cold"
                break
