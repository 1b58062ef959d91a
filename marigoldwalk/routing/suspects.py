"""Detection of request content that crashes the servers that execute it.

Load pattern: a request crashes every server that starts to execute it, and the caller repeats it
through any daemon. A broken connection alone is no proof of a crash, since replies are also lost in
other ways; a server that refuses connections right afterwards has crashed. Servers that crash for
another reason take down whatever they execute, so one occasion is no proof against the content, and
content that has run elsewhere without harm counts as harmless. The daemons exchange their evidence.

Only so much evidence is kept as decides something. Requests that overlap before the first crash is
known are weak evidence, however many servers they take down, so they never displace later trials.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, defaultdict, deque
from dataclasses import dataclass, replace
from itertools import pairwise
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from .exchanges import Attempt

CRASH_THRESHOLD = 3
"""Number of crashes, on as many occasions, at which request content is refused."""
CRASH_CONFIRMATION_S = 1.5
"""Time after a broken connection within which a refused connection confirms a crash."""
EVIDENCE_TTL_S = 60.0
"""Time for which evidence is valid; callers repeat such requests for some seconds."""
MAX_EVIDENCE_PER_DATAGRAM = 8
"""Maximum number of request contents reported in one datagram, refused ones first, then the
most harmful and the latest."""
MAX_CRASHES_PER_SERVICE = 2 * CRASH_THRESHOLD
"""Maximum number of crashes kept of one content at one service. As many as the threshold prove the
number of servers and as many the number of occasions."""
MAX_CRASHES_PER_EVIDENCE = 9
"""Maximum number of crashes of one content in a datagram, which bounds its size."""
MAX_HARMLESS = 4096
"""Number of contents that are remembered as harmless; the ones that ran last are kept."""


@dataclass(frozen=True, slots=True)
class Crash:
    """A server that crashed while it executed a content."""

    server: str
    """The server's incarnation, so that each crash of a server that restarts counts."""
    service: str
    occasion: str
    """The send after which it crashed; all shards of a query are sent on the same occasion."""
    is_trial: bool
    """Whether the content was sent to this server alone, since it had crashed others before."""
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of one request content."""

    fingerprint: str
    crashes: tuple[Crash, ...]
    is_harmless: bool = False
    """Whether a server has executed the content without a crash."""


def crash_of(attempt: Attempt) -> Crash:
    """Return the crash to record if the server of *attempt* turns out to have crashed."""
    registration = attempt.row.registration
    request_id = attempt.task.exchange.request.request_id
    return Crash(
        server=f"{registration.server_id}@{registration.started_at_ms}",
        service=attempt.task.service,
        occasion=f"{request_id}/{attempt.number}" if attempt.is_trial else request_id,
        is_trial=attempt.is_trial,
    )


class Suspects:
    """Evidence of crashes, by request content.

    ::

        suspects.record_loss("f1", "i-1", crash_of(attempt), now)
        suspects.record_unreachable("i-1", now)
        suspects.is_refused("f1", now)
    """

    def __init__(self, counters: Counter[str] | None = None) -> None:
        self._counters = Counter() if counters is None else counters
        self._losses: dict[str, deque[tuple[float, str, Crash]]] = {}
        self._crashes: dict[str, dict[Crash, float]] = {}
        self._harmless: OrderedDict[str, float] = OrderedDict()
        self._has_news = False
        self._unconfirmed: set[tuple[str, Crash]] = set()
        """The contents and crashes that count at this daemon alone so far."""

    @property
    def has_unconfirmed(self) -> bool:
        """Whether this daemon has seen crashes that may be losses of its own links."""
        return bool(self._unconfirmed)

    def confirm(self, now: float) -> None:
        """Record that this daemon reaches servers, so the servers that refused it have crashed."""
        confirmed, self._unconfirmed = self._unconfirmed, set()
        if any(not self._is_harmless(fingerprint, now) for fingerprint, _ in confirmed):
            self._has_news = True

    def withdraw(self) -> None:
        """Forget the unconfirmed crashes, since this daemon has lost its own links."""
        for fingerprint, crash in self._unconfirmed:
            self._crashes.get(fingerprint, {}).pop(crash, None)
        self._unconfirmed.clear()
        self._losses.clear()

    def take_news(self) -> bool:
        """Return whether there is new evidence that other daemons should have at once."""
        has_news, self._has_news = self._has_news, False
        return has_news

    def record_loss(self, fingerprint: str, server_id: str, crash: Crash, now: float) -> None:
        """Record that the connection broke while the server executed the content."""
        losses = self._losses.setdefault(server_id, deque(maxlen=8))
        losses.append((now, fingerprint, crash))

    def record_unreachable(self, server_id: str, now: float) -> list[str]:
        """Record that a server refuses connections; return the contents that crashed it.

        The crashes count at this daemon at once, so that it does not send the content on. Other
        daemons get them after :meth:`confirm`.
        """
        crashed = [
            (fingerprint, crash)
            for lost_at, fingerprint, crash in self._losses.pop(server_id, ())
            if now - lost_at <= CRASH_CONFIRMATION_S and self._add_crash(fingerprint, crash, now)
        ]
        self._unconfirmed.update(crashed)
        return [fingerprint for fingerprint, _ in crashed]

    def record_run(self, fingerprint: str, now: float) -> None:
        """Record that a server has executed the content successfully."""
        self._harmless[fingerprint] = now
        self._harmless.move_to_end(fingerprint)
        if len(self._harmless) > MAX_HARMLESS:
            self._harmless.popitem(last=False)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether the content has crashed so many servers that it must not be sent again."""
        crashes = self._valid_crashes(fingerprint, now)
        if len(crashes) < CRASH_THRESHOLD:
            return False
        if not self._is_harmless(fingerprint, now):
            return _count(crashes) >= CRASH_THRESHOLD
        # It may still crash the servers of one shard.
        return max(_count_by_service(crashes).values()) >= CRASH_THRESHOLD

    def needs_trial(self, fingerprint: str, now: float) -> bool:
        """Return whether the content must be sent to one server at a time."""
        crashes = self._valid_crashes(fingerprint, now)
        return bool(crashes) and not self._is_harmless(fingerprint, now)

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Return the number of crashes under the content that count against it."""
        return _count(self._valid_crashes(fingerprint, now))

    def held_count(self, fingerprint: str, now: float) -> int:
        """Return the number of crashes that are kept of the content, whether they count or not."""
        return len(self._valid_crashes(fingerprint, now))

    def evidence(self, now: float) -> list[Evidence]:
        """Return the evidence to send to other daemons, with its age."""
        contents = [
            (
                not self.is_refused(fingerprint, now),
                self._is_harmless(fingerprint, now),
                -_count(crashes),
                -max(crashes.values()),
                fingerprint,
            )
            for fingerprint in list(self._crashes)
            if (crashes := self._confirmed_crashes(fingerprint, now))
        ]
        contents.sort()
        return [
            Evidence(
                fingerprint,
                _strongest(self._confirmed_crashes(fingerprint, now), now),
                is_harmless,
            )
            for _, is_harmless, *_, fingerprint in contents[:MAX_EVIDENCE_PER_DATAGRAM]
        ]

    def merge(self, received: Iterable[Evidence], now: float) -> list[str]:
        """Merge evidence received from another daemon; return the contents with new evidence."""
        changed = []
        for evidence in received:
            if evidence.is_harmless and not self._is_harmless(evidence.fingerprint, now):
                self.record_run(evidence.fingerprint, now)
            added = [
                self._add_crash(evidence.fingerprint, crash, now - crash.age_s)
                for crash in evidence.crashes
                if crash.age_s < EVIDENCE_TTL_S
            ]
            if any(added):
                changed.append(evidence.fingerprint)
                self._has_news = self._has_news or not self._is_harmless(evidence.fingerprint, now)
        return changed

    def _add_crash(self, fingerprint: str, crash: Crash, crashed_at: float) -> bool:
        """Add a crash; return whether that is new evidence."""
        crashes = self._crashes.setdefault(fingerprint, {})
        key = replace(crash, age_s=0.0)
        if key in crashes or _is_reported(crashes, key, crashed_at):
            return False
        crashes[key] = crashed_at
        at_service = _at_service(crashes, key.service)
        if len(at_service) > MAX_CRASHES_PER_SERVICE:
            self._counters["suspect.surplus"] += 1
            del crashes[_weakest(at_service)]
        return key in crashes

    def _valid_crashes(self, fingerprint: str, now: float) -> dict[Crash, float]:
        """Return the crashes under the content that have not expired, with their times."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return {}
        for crash, crashed_at in list(crashes.items()):
            if now - crashed_at >= EVIDENCE_TTL_S:
                del crashes[crash]
        if not crashes:
            del self._crashes[fingerprint]
        return crashes

    def _confirmed_crashes(self, fingerprint: str, now: float) -> dict[Crash, float]:
        crashes = self._valid_crashes(fingerprint, now)
        return {c: time for c, time in crashes.items() if (fingerprint, c) not in self._unconfirmed}

    def _is_harmless(self, fingerprint: str, now: float) -> bool:
        ran_at = self._harmless.get(fingerprint)
        return ran_at is not None and now - ran_at < EVIDENCE_TTL_S


def _at_service(crashes: Mapping[Crash, float], service: str) -> dict[Crash, float]:
    return {crash: time for crash, time in crashes.items() if crash.service == service}


def _is_reported(crashes: Mapping[Crash, float], crash: Crash, crashed_at: float) -> bool:
    """Return whether *crash* is another report of a known crash that adds no occasion."""
    return not crash.is_trial and any(
        known.server == crash.server and abs(time - crashed_at) <= CRASH_CONFIRMATION_S
        for known, time in crashes.items()
    )


def _weakest(crashes: Mapping[Crash, float]) -> Crash:
    """Return the oldest crash without which the others prove as much."""
    count = min(_count(crashes), CRASH_THRESHOLD)
    oldest_first = sorted(crashes, key=lambda crash: crashes[crash])
    for crash in oldest_first:
        others = {other: time for other, time in crashes.items() if other != crash}
        if min(_count(others), CRASH_THRESHOLD) == count:
            return crash
    return oldest_first[0]


def _strongest(crashes: Mapping[Crash, float], now: float) -> tuple[Crash, ...]:
    """Return the crashes to send to other daemons, with their ages."""
    counts = _count_by_service(crashes)
    aged = [replace(crash, age_s=now - time) for crash, time in crashes.items()]
    aged.sort(key=lambda c: (counts[c.service] < CRASH_THRESHOLD, not c.is_trial, c.age_s))
    return tuple(aged[:MAX_CRASHES_PER_EVIDENCE])


def _count_by_service(crashes: Mapping[Crash, float]) -> dict[str, int]:
    services = {crash.service for crash in crashes}
    return {service: _count(_at_service(crashes, service)) for service in services}


def _count(crashes: Mapping[Crash, float]) -> int:
    """Return how many crashes count against the content.

    Several daemons may report the same crash. Servers that fail together, with requests of several
    callers, count as one occasion. Each trial is an occasion of its own.
    """
    server_times: defaultdict[str, list[float]] = defaultdict(list)
    for crash, time in crashes.items():
        server_times[crash.server].append(time)
    crash_count = sum(_count_apart(times) for times in server_times.values())
    trials = {crash.occasion for crash in crashes if crash.is_trial}
    others = _count_apart([time for crash, time in crashes.items() if not crash.is_trial])
    return min(crash_count, len(trials) + others)


def _count_apart(times: Sequence[float]) -> int:
    """Return the number of groups of *times* that are further apart than any confirmation."""
    ordered = sorted(times)
    gaps = (later - earlier for earlier, later in pairwise(ordered))
    return sum(gap > CRASH_CONFIRMATION_S for gap in gaps) + bool(ordered)
