"""Command line: ``python -m faults`` runs the scenarios and prints a table of results."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

from cyclopts import App

from . import configuration, daemons, network, servers, snapshots  # noqa: F401 (register scenarios)
from .scenario import run, scenarios

if TYPE_CHECKING:
    from .checks import Findings

SEED = 1
COLUMNS = (
    ("scenario", 20),
    ("seed", 4),
    ("queries", 7),
    ("wrong", 5),
    ("cover", 5),
    ("twice", 5),
    ("notrun", 6),
    ("slots", 5),
    ("cold", 4),
    ("late", 4),
    ("revert", 6),
    ("cut", 4),
    ("deaths", 6),
    ("mean", 6),
    ("min", 5),
    ("max ms", 7),
    ("s", 4),
)

app = App(name="faults", help="Inject faults into real processes while queries run.")


@app.default
def main(*, only: str = "", seed: int = SEED) -> int:
    """Run all scenarios, or those whose names start with ONLY; exit status 1 on a violation."""
    print("  ".join(f"{title:>{width}}" for title, width in COLUMNS), flush=True)
    failed = False
    for name in scenarios.names():
        if name.startswith(only):
            started = time.monotonic()
            findings = run(scenarios.get(name), seed)
            _print_row(name, seed, findings, time.monotonic() - started)
            failed |= bool(findings.violations)
    return int(failed)


def _print_row(name: str, seed: int, findings: Findings, elapsed_s: float) -> None:
    cells = (
        name,
        seed,
        findings.queries,
        findings.wrong_answers,
        findings.false_coverage,
        findings.run_twice,
        findings.false_not_run,
        findings.over_slots,
        findings.cold_overloads,
        findings.late_work,
        findings.reverts,
        findings.lost_replies,
        findings.deaths,
        f"{findings.coverage_mean:.4f}",
        f"{findings.coverage_min:.3f}",
        f"{findings.max_latency_s * 1000:.0f}",
        f"{elapsed_s:.0f}",
    )
    cells_by_column = zip(COLUMNS, cells, strict=True)
    print("  ".join(f"{cell!s:>{width}}" for (_, width), cell in cells_by_column))
    codes = ", ".join(f"{count} {code}" for code, count in findings.codes.most_common())
    print(f"    answers: {codes}")
    for note in findings.notes:
        print(f"    {note}")
    for violation in findings.violations:
        print(f"    VIOLATION: {violation}")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(app(result_action="return_value"))
