"""Command line: ``python -m soak`` runs seeds and prints a line for each."""

from __future__ import annotations

import signal
import sys
import time

from cyclopts import App

from .regressions import REGRESSIONS
from .run import RunOptions, run_seed

MAX_PRINTED = 8
MAX_CALLERS = 16
"""Callers that the harness, one process with all stand-ins, can run beside a large fleet."""

app = App(name="soak", help="Run real gateway daemons under randomized faults.")


@app.default
def main(
    *,
    first: int = 1,
    count: int = 1,
    daemons: int = 6,
    faults_s: float = 20.0,
    fresh: bool = False,
    regressions: bool = False,
) -> int:
    """Run COUNT seeds; exit status 1 on a violation.

    The first seed is FIRST, or the current Unix time if FRESH. With REGRESSIONS, run the seeds that
    failed in the past instead.
    """
    if fresh:
        first = int(time.time())
    seeds = list(REGRESSIONS) if regressions else range(first, first + count)
    options = RunOptions(daemons=daemons, callers=min(2 * daemons, MAX_CALLERS), faults_s=faults_s)
    failed = False
    for seed in seeds:
        result = run_seed(seed, options)
        failed |= bool(result.violations)
        print(
            f"seed {seed}: {result.faults} faults, {result.sent} requests, {result.served} served,"
            f" {result.arrivals} arrivals, {len(result.violations)} violations",
            flush=True,
        )
        for violation in result.violations[:MAX_PRINTED]:
            print(f"    {violation.guarantee} at {violation.at:.3f}: {violation.detail}")
        if result.violations:
            print(f"    logs in {result.directory}", flush=True)
    return int(failed)


if __name__ == "__main__":
    # SIGTERM raises SystemExit, so that the cleanup code terminates the daemons too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    sys.exit(app(result_action="return_value"))
