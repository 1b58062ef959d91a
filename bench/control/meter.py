"""CPU time, messages and bytes of one daemon, by kind of event or message."""

from __future__ import annotations

import time
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

NS_PER_S = 1e9
NS_PER_MS = 1e6
REFERENCE_STEPS = 100_000
REPEATS_COUNT = 5


def lowest_of_repeats(measure: Callable[[], tuple[float, ...]]) -> tuple[float, ...]:
    """Repeat a measurement and return the row with the lowest first value.

    Other work on the machine can only add CPU time, so the lowest value is the closest to the
    actual cost.
    """
    return min(measure() for _ in range(REPEATS_COUNT))


def reference_ms() -> float:
    """Return the CPU time of a fixed piece of work, to compare runs and machines."""
    return lowest_of_repeats(_reference_work)[0]


def _reference_work() -> tuple[float, ...]:
    started = time.thread_time_ns()
    table: dict[str, int] = {}
    for number in range(REFERENCE_STEPS):
        table[str(number)] = table.get(str(number // 2), 0) + 1
    return ((time.thread_time_ns() - started) / NS_PER_MS,)


@dataclass(slots=True)
class Meter:
    """Totals by kind of event or message; only the calling thread's CPU time is counted."""

    seconds: Counter[str] = field(default_factory=Counter)
    calls: Counter[str] = field(default_factory=Counter)
    longest_s: dict[str, float] = field(default_factory=dict)
    messages_out: Counter[str] = field(default_factory=Counter)
    messages_in: Counter[str] = field(default_factory=Counter)
    bytes_out: Counter[str] = field(default_factory=Counter)
    bytes_in: Counter[str] = field(default_factory=Counter)

    @contextmanager
    def timed(self, kind: str) -> Iterator[None]:
        """Add the CPU time of the ``with`` block to *kind*."""
        started = time.thread_time_ns()
        yield
        spent_s = (time.thread_time_ns() - started) / NS_PER_S
        self.seconds[kind] += spent_s
        self.calls[kind] += 1
        self.longest_s[kind] = max(self.longest_s.get(kind, 0.0), spent_s)

    def clear(self) -> None:
        """Reset all totals."""
        for sums in (
            self.seconds,
            self.calls,
            self.longest_s,
            self.messages_out,
            self.messages_in,
            self.bytes_out,
            self.bytes_in,
        ):
            sums.clear()

    def total_seconds(self, *prefixes: str) -> float:
        """Return the CPU time of all kinds, or of those that start with one of *prefixes*."""
        if not prefixes:
            return sum(self.seconds.values())
        return sum(seconds for kind, seconds in self.seconds.items() if kind.startswith(prefixes))

    def total_bytes(self) -> int:
        """Return the number of bytes sent and received."""
        return sum(self.bytes_out.values()) + sum(self.bytes_in.values())

    def total_messages(self) -> int:
        """Return the number of messages sent and received."""
        return sum(self.messages_out.values()) + sum(self.messages_in.values())
