"""Demo: queries of every group while a daemon and a backend server fail."""

from __future__ import annotations

import itertools
import random
import signal
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .callers import Caller, Outcome, Query, Result, repeated_requests
from .data import CITY_LATITUDE_DEG, CITY_LONGITUDE_DEG, CITY_RADIUS_DEG
from .fleet import Fleet
from .fleet_plan import FleetOptions

if TYPE_CHECKING:
    from collections.abc import Sequence

DAEMONS = 6
CALLERS = 6
ROUNDS_COUNT = 3
"""Queries of each group in a phase without failures."""
FAILURE_PHASE_S = 8.0
"""Duration of the phase in which processes fail."""
PAUSE_S = 0.05
"""Pause of a caller between two queries."""
MAX_RETRY_WAIT_S = 25.0
"""Maximum total wait, over the phases without failures, for the retry delays of refusals."""
KILLED_DAEMON = "m-2"
CRASHED_SERVER = "kiosks-07-a"
REPARTITIONED = {1: 50, 2: 60}
"""Number of shards of each snapshot after the kiosks index is repartitioned."""

ROW = "{:<20} {:<6} {:<14} {:>4} {:>9} {:>5} {:>8}  {:<15} {}"


@dataclass(slots=True)
class Tally:
    """All results so far, and the remaining time to wait before retries of refused queries."""

    results: list[Result] = field(default_factory=list)
    retry_wait_left_s: float = MAX_RETRY_WAIT_S

    def add(self, results: Sequence[Result]) -> None:
        """Add *results*."""
        self.results.extend(results)

    def outcomes(self) -> Counter[Outcome]:
        """Return the number of results of each outcome."""
        return Counter(result.outcome for result in self.results)

    def answered(self) -> int:
        """Return the number of queries with a correct answer, full or partial."""
        outcomes = self.outcomes()
        return outcomes[Outcome.CORRECT] + outcomes[Outcome.PARTIAL]


def budapest_queries(rng: random.Random) -> list[Query]:
    """Return one query per group, with a random position and a random owner."""
    lat = round(CITY_LATITUDE_DEG + rng.uniform(-CITY_RADIUS_DEG, CITY_RADIUS_DEG), 5)
    lon = round(CITY_LONGITUDE_DEG + rng.uniform(-CITY_RADIUS_DEG, CITY_RADIUS_DEG), 5)
    place = {"op": "nearest", "lat": lat, "lon": lon}
    owner = f"o-{rng.randint(1, 240):04d}"
    return [
        Query("kiosk-finder", "kiosks", place, 3),
        Query("stock", "kiosks", {"op": "stock"}, 10),
        Query("technician-dispatch", "kiosks", place, 8),
        Query(
            "owner-portal", "settlements", {"op": "get", "key": owner}, 1, owner, at_most_once=True
        ),
        Query("promotions", "promotions", {"op": "text", "text": "diák hűségpont"}, 4),
    ]


def run(fleet: Fleet, tally: Tally) -> None:
    """Send queries before, during and after failures and the repartitioning of an index."""
    caller = Caller(fleet)
    print("\nQueries of each group, each answer checked against a direct computation:\n")
    print_header()
    _run_steady_phase(caller, tally, list(fleet.daemons))
    print(f"\nQueries for {FAILURE_PHASE_S:.0f} s while {KILLED_DAEMON} and {CRASHED_SERVER} fail")
    _run_failure_phase(fleet, caller, tally)
    print("\nAfter the failures, through the remaining daemons:\n")
    print_header()
    survivors = [name for name in fleet.daemons if name != KILLED_DAEMON]
    _run_steady_phase(caller, tally, survivors)


def _run_steady_phase(caller: Caller, tally: Tally, daemons: Sequence[str]) -> None:
    rng = random.Random(7)
    turns = itertools.cycle(daemons)
    for _ in range(ROUNDS_COUNT):
        for query in budapest_queries(rng):
            result = _send_and_print(caller, tally, next(turns), query)
            if result.outcome is Outcome.REFUSED and _wait_before_retry(tally, result):
                _send_and_print(caller, tally, next(turns), query)


def _send_and_print(caller: Caller, tally: Tally, daemon: str, query: Query) -> Result:
    result = caller.send(daemon, query)
    print_row(result)
    tally.add([result])
    return result


def _wait_before_retry(tally: Tally, refusal: Result) -> bool:
    """Wait for the retry delay of a refusal; return ``False`` if too little time is left for it."""
    wait_s = refusal.answer["retry_after_ms"] / 1000
    if wait_s > tally.retry_wait_left_s:
        return False
    print(f"  refused ({refusal.detail}); retrying in {wait_s:.1f} s")
    tally.retry_wait_left_s -= wait_s
    time.sleep(wait_s)
    return True


def _run_failure_phase(fleet: Fleet, caller: Caller, tally: Tally) -> None:
    deadline = time.monotonic() + FAILURE_PHASE_S
    with ThreadPoolExecutor(CALLERS) as pool:
        pending = [
            pool.submit(_send_until, deadline, caller, number, list(fleet.daemons))
            for number in range(CALLERS)
        ]
        time.sleep(FAILURE_PHASE_S / 4)
        print(f"  killing {KILLED_DAEMON} with SIGKILL, crashing {CRASHED_SERVER}")
        fleet.kill(KILLED_DAEMON, signal.SIGKILL)
        fleet.control(CRASHED_SERVER, crash=True)
        time.sleep(FAILURE_PHASE_S / 4)
        print("  delisting the daemon; adding a snapshot of 60 shards beside the one of 50")
        fleet.set_instances(without=[KILLED_DAEMON])
        fleet.set_snapshots("kiosks", REPARTITIONED)
        results = [result for future in pending for result in future.result()]
    tally.add(results)
    print_summary(results)


def _send_until(
    deadline: float, caller: Caller, number: int, daemons: Sequence[str]
) -> list[Result]:
    rng = random.Random(number)
    results = []
    while time.monotonic() < deadline:
        for query in budapest_queries(rng):
            results.append(caller.send(rng.choice(daemons), query))
            time.sleep(PAUSE_S)
    return results


def print_header() -> None:
    """Print the header of the table of answers."""
    print(
        ROW.format(
            "group", "daemon", "result", "hits", "coverage", "snap", "ms", "check", "first hit"
        )
    )


def print_row(result: Result) -> None:
    """Print one answer as a row of the table."""
    answer = result.answer
    if not answer:
        print(ROW.format(result.query.group, result.daemon, *"-----", result.outcome.value, ""))
        return
    coverage = answer["coverage"]
    hits = answer["hits"]
    first = f"{hits[0]['key']} {hits[0]['score']:g}" if hits else result.detail
    print(
        ROW.format(
            result.query.group,
            result.daemon,
            answer["name"][:14],
            len(hits),
            f"{coverage['answered']}/{coverage['shards']}",
            answer["snapshot"],
            f"{answer['elapsed_ms']:.1f}",
            result.outcome.value,
            first,
        )
    )


def print_summary(results: Sequence[Result]) -> None:
    """Print the number of queries by outcome and the most common reasons of failures."""
    outcomes = Counter(result.outcome for result in results)
    counts = ", ".join(f"{outcomes[outcome]} {outcome.value}" for outcome in Outcome)
    print(f"  {len(results)} queries: {counts}")
    reasons = Counter(
        f"{result.answer.get('name', 'no reply')}: {result.detail[:90]}"
        for result in results
        if result.outcome not in (Outcome.CORRECT, Outcome.PARTIAL)
    )
    for reason, count in reasons.most_common(5):
        print(f"    {count} x {reason}")


def print_cold_overloads(fleet: Fleet) -> int:
    """Print the cold servers that had concurrent subrequests and return their number."""
    overloaded = {
        name: [overload["attempts"] for overload in journal["crowds"] if overload["cold"]]
        for name, journal in fleet.journals().items()
        if journal["cold_overloads"]
    }
    print(f"  cold servers that had concurrent subrequests: {len(overloaded)}")
    for name, attempts in overloaded.items():
        print(f"    {name}: {attempts}")
    return len(overloaded)


def print_verdict(fleet: Fleet, tally: Tally) -> int:
    """Print the totals and return the exit status: 0 only if every check passed."""
    print("\nTotal:")
    print_summary(tally.results)
    repeated = repeated_requests(fleet, tally.results)
    print(f"  requests that ran more often than allowed: {len(repeated)}")
    overloaded = print_cold_overloads(fleet)
    wrong = tally.outcomes()[Outcome.WRONG]
    if wrong or repeated:
        print("FAILED: wrong answers or repeated requests")
        return 1
    if overloaded:
        print("FAILED: a cold server got concurrent subrequests")
        return 1
    if not tally.answered():
        print("FAILED: no query was answered")
        return 1
    print("all answers were correct")
    return 0


def main() -> int:
    """Run the demo and return its exit status."""
    started_at = time.monotonic()
    tally = Tally()
    # By default, SIGTERM would end this process without stopping its children.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    print(f"Starting 106 backend servers, the platform and {DAEMONS} daemons (Budapest)")
    with Fleet(FleetOptions(deployment="budapest", daemons=DAEMONS)) as fleet:
        print(f"Ready after {time.monotonic() - started_at:.1f} s")
        run(fleet, tally)
        status = print_verdict(fleet, tally)
    print(f"All processes stopped; {time.monotonic() - started_at:.1f} s")
    return status


if __name__ == "__main__":
    sys.exit(main())
