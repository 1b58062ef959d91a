"""A test rig: one fleet of real processes, the plain fan-out, and a load generator for both."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Self

from standins.fleet import Fleet
from standins.fleet_plan import FleetOptions
from standins.processes import ChildProcess, FleetError, stop_all

from .deployments import behaviour, capacity_qps, group_of, index_of
from .load_plan import LoadPlan, Stream, read_outcomes, write_plan
from .load_stats import Objective
from .samples import take_sample

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from .load_plan import Outcome
    from .samples import Sample

SERVER_PROCESSES_COUNT = 3
SETTLE_S = 0.4
"""Pause after each load, so that queues drain."""
LOADS_PER_SEED = 1000
END_TIMEOUT_S = 20.0
"""Time allowed for the generator to finish after the last arrival."""
USABLE_TIMEOUT_S = 15.0
WARM_UP_S = 2.0
WARM_UP_LOAD = 0.4
MAX_WARM_UPS_COUNT = 5


@dataclass(frozen=True, slots=True)
class RigOptions:
    """The deployment to start, its daemons, the seed and the length of one load."""

    deployment: str
    daemons: int
    seconds: float
    seed: int = 1
    with_baseline: bool = True


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Outcomes and resource usage of one load. ``started_at`` is in Unix seconds."""

    started_at: float
    seconds: float
    outcomes: list[Outcome]
    usage: Sample


class Rig:
    """A fleet, as many plain fan-out processes as it has daemons, and a load generator.

    ::

        with Rig(RigOptions("budapest", daemons=6, seconds=4)) as rig:
            result = rig.load([rig.stream("kiosk-finder", load=0.7)])
    """

    def __init__(self, options: RigOptions) -> None:
        self.options = options
        self.fleet = Fleet(
            FleetOptions(
                deployment=options.deployment,
                daemons=options.daemons,
                server_processes=SERVER_PROCESSES_COUNT,
                seed=options.seed,
                behaviour=behaviour(),
            )
        )
        self._baselines: list[ChildProcess] = []
        self._baseline_targets: list[str] = []
        self._generator = ChildProcess("generator", ["bench.generator"], self.fleet.folder)
        self._loads_count = 0

    def __enter__(self) -> Self:
        try:
            self.fleet.start()
            self._start_baselines()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        stop_all([self._generator, *self._baselines])
        self.fleet.stop()

    @property
    def name(self) -> str:
        """The deployment and the number of daemons."""
        return f"{self.options.deployment}, {self.options.daemons} daemons"

    @property
    def systems(self) -> tuple[bool, ...]:
        """The values of *plain* to measure: ``False``, and ``True`` if the plain fan-out runs."""
        return (False, True) if self._baselines else (False,)

    def index(self, group: str) -> str:
        """Return the index of a group of this deployment."""
        return index_of(self.options.deployment, group)

    def objective(self, group: str) -> Objective:
        """Return the deadline and the minimum coverage of a group."""
        model = group_of(self.options.deployment, group)
        return Objective(model.deadline_ms / 1000, model.min_coverage)

    def stream(self, group: str, load: float) -> Stream:
        """Return a stream of queries of *group* at *load* times the servers' capacity."""
        deployment = self.options.deployment
        rate_qps = load * capacity_qps(deployment, group)
        return Stream(group, rate_qps, self.objective(group).deadline_s)

    def load(
        self,
        streams: list[Stream],
        seconds: float = 0.0,
        plain: bool = False,
        during: Callable[[float], None] = lambda started_at: None,
    ) -> LoadResult:
        """Send one load to the daemons, or to the plain fan-out if *plain*, and wait for its end.

        *during* is called with the start time in Unix seconds while the load runs.
        """
        seconds = seconds or self.options.seconds
        targets = self._baseline_targets if plain else self._caller_addresses()
        # Each load has its own seed, so that no load repeats the queries of an earlier one.
        seed = self.options.seed * LOADS_PER_SEED + self._loads_count
        plan = LoadPlan(tuple(streams), seconds, tuple(targets), seed)
        pids = self._pids(plain)
        before = take_sample(self.fleet, pids)
        started_at, outcomes = self._generate(plan, during)
        usage = take_sample(self.fleet, self._pids(plain)).since(before)
        time.sleep(SETTLE_S)
        return LoadResult(started_at, seconds, outcomes, usage)

    def warm_up(self, group: str) -> None:
        """Send moderate loads until each server's concurrency limit has reached its slots.

        Stops after ``MAX_WARM_UPS_COUNT`` loads even if some server has not.
        """
        for _ in range(MAX_WARM_UPS_COUNT):
            self.load([self.stream(group, WARM_UP_LOAD)], WARM_UP_S)
            if self._all_warm(group):
                return

    def idle(self, seconds: float) -> Sample:
        """Return the increase of the counters and CPU time over *seconds* without load."""
        pids = self._pids(plain=False)
        before = take_sample(self.fleet, pids)
        time.sleep(seconds)
        return take_sample(self.fleet, pids).since(before)

    def sleep_until(self, when: float) -> None:
        """Sleep until *when*, in Unix seconds."""
        time.sleep(max(0.0, when - time.time()))

    def wait_until_usable(self, group: str) -> None:
        """Wait until the daemons consider every server of *group* usable."""
        self.wait_until(lambda: self._all_usable(group), USABLE_TIMEOUT_S)
        time.sleep(SETTLE_S)

    def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Wait for *condition* and return the time it took; raise ``FleetError`` on timeout."""
        started = time.monotonic()
        while not condition():
            if time.monotonic() - started > timeout_s:
                raise FleetError(f"condition not met within {timeout_s:g} s")
            time.sleep(0.02)
        return time.monotonic() - started

    def _all_usable(self, group: str) -> bool:
        servers = self._servers_seen_by_homes(group)
        return bool(servers) and all(server["state"] == "usable" for server in servers)

    def _all_warm(self, group: str) -> bool:
        servers = self._servers_seen_by_homes(group)
        return all(server.get("limit", 0) >= server["slots"] for server in servers)

    def _servers_seen_by_homes(self, group: str) -> list[dict[str, Any]]:
        """Return the state of each server of *group*, as reported by its first home daemon."""
        found: dict[str, dict[str, Any]] = {}
        for daemon in self.fleet.daemons.values():
            servers = self.fleet.get_json(daemon.admin_address, f"/explain/{group}")["servers"]
            found.update(
                (server["name"], server)
                for server in servers
                if server["homes"][:1] == [daemon.name]
            )
        return list(found.values())

    def _generate(
        self, plan: LoadPlan, during: Callable[[float], None]
    ) -> tuple[float, list[Outcome]]:
        self._loads_count += 1
        name = f"load-{self._loads_count}"
        plan_path = self.fleet.folder / f"{name}.json"
        outcomes_path = self.fleet.folder / f"{name}-outcomes.jsonl"
        write_plan(plan, plan_path)
        self._generator.send_message({"plan": str(plan_path), "outcomes": str(outcomes_path)})
        started_at = self._generator.read_message()["started_at"]
        during(started_at)
        self._generator.read_message(
            max(
                started_at + plan.seconds + END_TIMEOUT_S - time.time(),
                END_TIMEOUT_S,
            )
        )
        return started_at, read_outcomes(outcomes_path)

    def _caller_addresses(self) -> list[str]:
        return [daemon.caller_address for daemon in self.fleet.daemons.values()]

    def _pids(self, plain: bool) -> list[int]:
        return [process.pid for process in (self._baselines if plain else self._daemons())]

    def _daemons(self) -> Iterator[ChildProcess]:
        return (daemon.process for daemon in self.fleet.daemons.values() if daemon.process)

    def _start_baselines(self) -> None:
        count = self.options.daemons if self.options.with_baseline else 0
        for number in range(count):
            arguments = ["bench.baseline", self.fleet.platform_address]
            child = ChildProcess(f"baseline-{number}", arguments, self.fleet.folder)
            self._baselines.append(child)
        self._baseline_targets = [child.read_message()["caller"] for child in self._baselines]
