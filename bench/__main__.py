"""Command line of the benchmarks: ``python -m bench`` loads real processes and prints tables.

The daemons, the stand-ins for servers and platform, the plain fan-outs and the load generators all
run on this machine and talk over loopback. The results compare the tier with the plain fan-out and
with itself; absolute numbers apply only to the machine that they were measured on.
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass
from pathlib import Path  # noqa: TC003 (read by cyclopts)
from typing import Annotated

from cyclopts import App, Parameter

from .cases import cases
from .cases.loads import MAIN_GROUPS
from .deployments import SERVICE_MS, SERVICE_SIGMA, WIDE, capacity_qps, set_time_scale, time_scale
from .machine import current_commit, describe_machine, load_average
from .report import report, write_report
from .results import Results
from .rig import Rig, RigOptions

app = App(name="bench", help="Benchmark the query tier and compare it with a plain fan-out.")


@dataclass(frozen=True, slots=True)
class Suite:
    """Benchmark cases that run one after the other on the same fleet."""

    deployment: str
    daemons: int
    cases: tuple[str, ...]
    seconds_ratio: float = 1.0
    """Duration of each load, relative to the ``--seconds`` option."""


SUITES = (
    Suite(
        "budapest",
        6,
        (
            "idle",
            "load",
            "priorities",
            "stragglers",
            "replica-loss",
            "domain",
            "server-restarts",
            "changes",
            "daemon-restarts",
        ),
    ),
    Suite("budapest", 9, ("idle", "load"), seconds_ratio=0.5),
    Suite("quito", 6, ("idle", "load", "priorities"), seconds_ratio=0.5),
    Suite(WIDE, 6, ("idle", "wide"), seconds_ratio=0.5),
)


@app.default
def main(
    *,
    only: Annotated[list[str] | None, Parameter(negative="")] = None,
    seconds: float = 4.0,
    seed: int = 1,
    plain: bool = True,
    slower: float = 1.0,
    out: Path | None = None,
) -> None:
    """Run the benchmarks and print their results as Markdown tables.

    Parameters
    ----------
    only
        Run only this case. May be given several times.
    seconds
        Duration of a load of the first suite.
    seed
        Seed of the random arrivals, queries and server behaviour.
    plain
        Also measure the plain fan-out.
    slower
        Factor by which service times and deadlines are lengthened on a slow or busy machine.
    out
        File to write the tables to. If it contains the markers of the tables, only the text
        between them is replaced.
    """
    started = time.monotonic()
    set_time_scale(slower)
    header = _header_lines(seconds, seed)
    results = Results()
    for suite in SUITES:
        selected = [name for name in suite.cases if only is None or name in only]
        if selected:
            _run_suite(suite, selected, seconds, seed, plain, results)
    header.append(f"total duration: {time.monotonic() - started:.0f} s")
    header.append(f"load average of the machine at the end: {load_average():.1f}")
    text = report(results, header)
    sys.stdout.write(text)
    if out is not None:
        write_report(text, out)


def _header_lines(seconds: float, seed: int) -> list[str]:
    capacities = ", ".join(
        f"{group} of {deployment} {capacity_qps(deployment, group):.0f} queries/s"
        for deployment, group in MAIN_GROUPS.items()
    )
    return [
        f"commit {current_commit()}",
        f"command: `{' '.join(('python -m bench', *sys.argv[1:]))}`",
        describe_machine(),
        f"load average of the machine at the start: {load_average():.1f}",
        f"seed {seed}, {seconds:g} s per load, open loop, all processes on loopback",
        f"the median service time of a server is {SERVICE_MS * time_scale.ratio:g} ms (lognormal, "
        f"sigma {SERVICE_SIGMA:g}); deadlines are {time_scale.ratio:g} times those of the "
        "deployments",
        f"load 1 is the capacity of the servers' slots: {capacities}",
    ]


def _run_suite(
    suite: Suite, selected: list[str], seconds: float, seed: int, plain: bool, results: Results
) -> None:
    seconds *= suite.seconds_ratio
    options = RigOptions(suite.deployment, suite.daemons, seconds, seed, plain)
    with Rig(options) as rig:
        _log_progress(f"{rig.name}: started")
        rig.warm_up(MAIN_GROUPS[suite.deployment])
        for name in selected:
            began = time.monotonic()
            cases.get(name)(rig, results)
            _log_progress(f"{rig.name}: {name} took {time.monotonic() - began:.0f} s")


def _log_progress(line: str) -> None:
    sys.stderr.write(f"{line}\n")
    sys.stderr.flush()


if __name__ == "__main__":
    app()
