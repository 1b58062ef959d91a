"""The promises, checked against what callers and backend servers saw."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marigoldwalk.util.registry import Registry

from .deployment import COLD_PER_S, MAX_ATTEMPTS, MIN_COVERAGE, TOP_K
from .servers import RECORDS, answer_body

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .journal import Arrival, Journal, Sending, Version

# The bounds of the platform's pages, in seconds.
STABILITY_S = 4.0
APPLY_S = 3.0
DRAIN_S = 3.0
EXCLUDE_S = 5.0
DOWNGRADE_SLACK_S = 0.25
LOSS_SLACK_S = 0.2
RECOVERY_S = 12.0
DEADLINE_SLACK_S = 0.5
BUDGET_RATIO = 0.2
BUDGET_WINDOW_S = 10.0
BUDGET_SLACK = 52
COLD_FACTOR = 1.5
COLD_SLACK = 5
GRACE_S = 6.0

_RECORD = 16
_NOT_RUN = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken, and by what."""

    promise: str
    at: float
    detail: str


Check = "Callable[[Journal], Iterator[tuple[float, str]]]"

promises: Registry[Check] = Registry("promise")

UNTIMED = frozenset(
    (
        "whole answers",
        "nothing unasked",
        "runs once",
        "not run is true",
        "right service",
        "attempts",
        "repeats",
        "configuration never back",
        "processes live",
    )
)
"""Promises that hold however slow the machine is."""


def check_all(journal: Journal) -> list[Violation]:
    """Return every broken promise, earliest first."""
    found = [
        Violation(name, at, detail)
        for name in promises.names()
        for at, detail in promises.get(name)(journal)
    ]
    return sorted(found, key=lambda violation: violation.at)


@promises.register("whole answers")
def whole_answers(journal: Journal) -> Iterator[tuple[float, str]]:
    """Successes carry the bytes that servers wrote for that request, and nothing else."""
    for sending in journal.sendings:
        if not sending.is_success:
            continue
        find = _merged_problem if _is_wide(sending) else _single_problem
        problem = find(journal, sending)
        if problem:
            yield sending.ended_at, f"{sending.request_id} {sending.path}: {problem}"


@promises.register("nothing unasked")
def nothing_unasked(journal: Journal) -> Iterator[tuple[float, str]]:
    """Servers get only what callers sent."""
    sent = {s.request_id: s for s in journal.sendings}
    for arrival in journal.arrivals:
        sending = sent.get(arrival.request_id)
        if sending is None:
            yield arrival.at, f"{arrival.request_id} was never sent"
        elif (sending.method, sending.path, sending.body) != (
            arrival.method,
            arrival.path,
            arrival.body,
        ):
            yield arrival.at, f"{arrival.request_id} arrived changed"


@promises.register("runs once")
def runs_once(journal: Journal) -> Iterator[tuple[float, str]]:
    """A request that may not be repeated runs once at most."""
    counts = Counter(a.request_id for a in journal.arrivals if a.ran and _is_once(a.path))
    for arrival in journal.arrivals:
        if counts.pop(arrival.request_id, 0) > 1:
            yield arrival.at, f"{arrival.request_id} ran more than once"


@promises.register("not run is true")
def not_run_is_true(journal: Journal) -> Iterator[tuple[float, str]]:
    """A request that may not be repeated and is refused as not run has not run, nor runs later."""
    ran = {a.request_id for a in journal.arrivals if a.ran}
    for sending in journal.sendings:
        if _is_once(sending.path) and sending.status in _NOT_RUN and sending.request_id in ran:
            yield sending.ended_at, f"{sending.request_id} got {sending.status} and ran"


@promises.register("right service")
def right_service(journal: Journal) -> Iterator[tuple[float, str]]:
    """A request runs only at services to which some version lets it go."""
    for arrival in journal.arrivals:
        allowed = {s for v in journal.versions for s in v.services.get(_prefix(arrival.path), ())}
        if arrival.ran and arrival.service not in allowed:
            yield arrival.at, f"{arrival.path} ran at {arrival.service}"


@promises.register("attempts")
def attempts(journal: Journal) -> Iterator[tuple[float, str]]:
    """A request runs on no more servers of a service than its route allows."""
    ran_on: dict[tuple[str, str], set[str]] = defaultdict(set)
    for arrival in journal.arrivals:
        if arrival.ran:
            ran_on[arrival.request_id, arrival.service].add(arrival.server_id)
            if len(ran_on[arrival.request_id, arrival.service]) == MAX_ATTEMPTS + 1:
                yield arrival.at, f"{arrival.request_id} ran on over {MAX_ATTEMPTS} servers"


@promises.register("repeats")
def repeats(journal: Journal) -> Iterator[tuple[float, str]]:
    """Repeated sends to a service keep within the fleet's budget in every window."""
    seen: set[tuple[str, str]] = set()
    extra: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted(journal.arrivals, key=lambda a: a.at):
        if (arrival.request_id, arrival.service) in seen:
            extra[arrival.service].append(arrival.at)
        seen.add((arrival.request_id, arrival.service))
    for service, times in extra.items():
        for index, end in enumerate(times):
            start = end - BUDGET_WINDOW_S
            count = sum(start < t <= end for t in times[: index + 1])
            asked = sum(
                start < s.sent_at <= end and _may_go_to(journal, s, service)
                for s in journal.sendings
            )
            if count > BUDGET_RATIO * asked + BUDGET_SLACK:
                yield end, f"{service} got {count} repeats in {BUDGET_WINDOW_S} s for {asked}"
                break


@promises.register("time handed on")
def time_handed_on(journal: Journal) -> Iterator[tuple[float, str]]:
    """Servers are told no more time than the caller has left."""
    sent = {s.request_id: s for s in journal.sendings}
    for arrival in journal.arrivals:
        sending = sent.get(arrival.request_id)
        if sending is None:
            continue
        names = (sending.daemon, f"{arrival.service}/{arrival.domain}")
        if not all(journal.is_calm(name, sending.sent_at, arrival.at) for name in names):
            continue
        left_s = sending.sent_at + sending.deadline_s - arrival.at
        if not 0 < arrival.deadline_s <= left_s + DEADLINE_SLACK_S:
            yield arrival.at, f"{arrival.request_id} was handed {arrival.deadline_s:.3f} s"


@promises.register("cold servers")
def cold_servers(journal: Journal) -> Iterator[tuple[float, str]]:
    """A cold server gets no more than it bears in any second."""
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
                yield end, f"{server_id} got {count} requests in a second while cold"
                break


@promises.register("leaving servers")
def leaving_servers(journal: Journal) -> Iterator[tuple[float, str]]:
    """A server that leaves gets nothing new later than the bound."""
    for arrival, daemon in _arrivals_of_entry(journal):
        left_at = journal.leaving.get(arrival.server_id, float("inf"))
        is_due = arrival.at > left_at + DRAIN_S
        if is_due and _in_touch(journal, daemon, arrival, left_at):
            late_s = arrival.at - left_at
            yield arrival.at, f"{arrival.server_id} got {arrival.request_id} {late_s:.2f} s late"


@promises.register("excluded domains")
def excluded_domains(journal: Journal) -> Iterator[tuple[float, str]]:
    """The servers of a failure domain that is out of service get nothing new."""
    for arrival, daemon in _arrivals_of_entry(journal):
        for domain, start, end in journal.excluded:
            is_due = start + EXCLUDE_S < arrival.at < end
            if domain == arrival.domain and is_due and _in_touch(journal, daemon, arrival, start):
                yield arrival.at, f"{domain} got {arrival.request_id}"


@promises.register("configuration in time")
def configuration_in_time(journal: Journal) -> Iterator[tuple[float, str]]:
    """A version is in force at daemons in touch within its bound."""
    for sending, number in _probed(journal):
        due = _newest(journal, sending.sent_at - APPLY_S)
        start = sending.sent_at - APPLY_S - STABILITY_S
        is_calm = journal.is_calm(sending.daemon, start, sending.ended_at)
        if due is not None and number < due.number and is_calm:
            yield sending.sent_at, (
                f"{sending.daemon} handled {sending.path} as version {number}, due {due.number}"
            )


@promises.register("configuration never back")
def configuration_never_back(journal: Journal) -> Iterator[tuple[float, str]]:
    """A daemon that showed a version does not go back to an older one while it lives."""
    shown: dict[str, tuple[int, float]] = {}
    restarts = {
        name: [d.start for d in journal.disturbances if d.daemon == name and d.kind in _ENDS]
        for name in {s.daemon for s in journal.sendings}
    }
    for sending, least in sorted(_shown_least(journal), key=lambda pair: pair[0].sent_at):
        known, known_at = shown.get(sending.daemon, (0, 0.0))
        if any(known_at <= at <= sending.ended_at for at in restarts[sending.daemon]):
            known = 0
        newest = _highest_that_explains(journal, sending)
        if newest < known and sending.sent_at > known_at + DOWNGRADE_SLACK_S:
            yield sending.sent_at, f"{sending.daemon} went back from {known} to {newest}"
        if least > known:
            shown[sending.daemon] = (least, sending.ended_at)


_ENDS = ("kill", "stop")


@promises.register("planned stops")
def planned_stops(journal: Journal) -> Iterator[tuple[float, str]]:
    """A planned stop cuts no request that the daemon has read."""
    for daemon, start, end in journal.stops:
        others = [
            d
            for d in journal.disturbances
            if d.daemon == daemon
            and d.kind not in ("stop", "store reset")
            and d.start <= end
            and d.end >= start - STABILITY_S
        ]
        if others:
            continue
        for sending in journal.sendings:
            is_ours = sending.daemon == daemon and start <= sending.sent_at <= end
            if is_ours and _was_cut(journal, sending):
                yield sending.sent_at, f"{daemon} cut {sending.request_id} while it stopped"


@promises.register("processes live")
def processes_live(journal: Journal) -> Iterator[tuple[float, str]]:
    """No daemon ends by itself, and a planned stop ends well within its grace time."""
    for daemon, at, status in journal.ends:
        paused = any(
            d.daemon == daemon and d.kind == "pause" and at - GRACE_S - 1.0 <= d.end <= at + 1.0
            for d in journal.disturbances
        )
        if not paused:
            yield at, f"{daemon} ended with status {status}"


@promises.register("recovery")
def recovery(journal: Journal) -> Iterator[tuple[float, str]]:
    """After the last fault, callers are served again."""
    since = journal.calm_from + RECOVERY_S
    late = [s for s in journal.sendings if s.sent_at > since and not s.is_probe and not s.gave_up]
    served = sum(s.is_success for s in late)
    if late and served < 0.9 * len(late):
        yield since, f"{served} of {len(late)} requests were served after the faults"


def _is_wide(sending: Sending) -> bool:
    return sending.path.startswith("/all/")


def _is_once(path: str) -> bool:
    return path.startswith("/once/")


def _prefix(path: str) -> str:
    return path[: path.index("/", 1) + 1]


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


def _may_go_to(journal: Journal, sending: Sending, service: str) -> bool:
    return any(service in v.services.get(_prefix(sending.path), ()) for v in journal.versions)


def _arrivals_of_entry(journal: Journal) -> Iterator[tuple[Arrival, str]]:
    """Yield arrivals that were not refused, with the daemon that took the request."""
    daemons = {s.request_id: s.daemon for s in journal.sendings}
    for arrival in journal.arrivals:
        if arrival.ran and arrival.request_id in daemons:
            yield arrival, daemons[arrival.request_id]


def _in_touch(journal: Journal, daemon: str, arrival: Arrival, since: float) -> bool:
    """Return whether neither the daemon nor the way to the server was disturbed of late."""
    start = min(since, arrival.at - STABILITY_S) - STABILITY_S
    server = f"{arrival.service}/{arrival.domain}"
    return journal.is_calm(daemon, start, arrival.at) and journal.is_calm(server, start, arrival.at)


def _probed(journal: Journal) -> Iterator[tuple[Sending, int]]:
    """Yield answered probes with the highest version that explains the answer."""
    for sending in journal.sendings:
        if sending.is_probe and (sending.is_success or sending.status == 404):
            yield sending, _highest_that_explains(journal, sending)


def _shown_least(journal: Journal) -> Iterator[tuple[Sending, int]]:
    """Yield answered probes with the lowest version that explains the answer."""
    for sending in journal.sendings:
        if sending.is_probe and sending.is_success:
            yield sending, min(_explaining(journal, sending), default=0)
        elif sending.is_probe and sending.status == 404:
            yield sending, 0


def _highest_that_explains(journal: Journal, sending: Sending) -> int:
    return max(_explaining(journal, sending), default=0)


def _explaining(journal: Journal, sending: Sending) -> list[int]:
    """Return the versions under which a probe gets the answer that it got."""
    prefix = _prefix(sending.path)
    return [
        version.number
        for version in journal.versions
        if version.at <= sending.ended_at and (prefix in version.probes) == sending.is_success
    ]


def _newest(journal: Journal, before: float) -> Version | None:
    found = [version for version in journal.versions if version.at <= before]
    return found[-1] if found else None


def _was_cut(journal: Journal, sending: Sending) -> bool:
    """Return whether a request that its daemon had read got no whole answer in time."""
    if sending.status is not None or sending.gave_up:
        return False
    if sending.ended_at >= sending.sent_at + sending.deadline_s:
        # The caller waited to its deadline in vain, so nothing was cut.
        return False
    was_passed_on = any(a.request_id == sending.request_id for a in journal.arrivals)
    return was_passed_on or sending.ended_at - sending.sent_at > LOSS_SLACK_S
