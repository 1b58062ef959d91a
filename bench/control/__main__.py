"""Command line of the control benchmarks: ``python -m bench.control --slope NAME``."""

from __future__ import annotations

import sys
import time
from typing import Annotated

from cyclopts import App, Parameter

from . import configuration_slopes, daemon_slopes, query_slopes, socket_slopes  # noqa: F401
from .meter import reference_ms
from .registry import slopes

app = App(name="bench.control", help="Measure the control overhead of one daemon.")


@app.default
def measure(*, slope: Annotated[list[str], Parameter(negative="")] | None = None) -> int:
    """Measure slopes and print a Markdown table for each.

    Parameters
    ----------
    slope
        What to vary. May be given several times; without it, the names are listed.
    """
    if not slope:
        for name in slopes.names():
            print(f"{name}: {(slopes.get(name).__doc__ or '').splitlines()[0]}")
        return 0
    for name in slope:
        if name not in slopes.names():
            print(f"unknown slope: {name!r}", file=sys.stderr)
            return 2
    for name in slope:
        _measure(name)
    return 0


def _measure(name: str) -> None:
    started = time.monotonic()
    before_ms = reference_ms()
    table = slopes.get(name)()
    after_ms = reference_ms()
    print(f"### {name}\n\n{table.render()}\n")
    print(f"Took {time.monotonic() - started:.0f} s. ", end="")
    print(f"Reference work: {before_ms:.1f} ms before, {after_ms:.1f} ms after.\n")


if __name__ == "__main__":
    sys.exit(app(result_action="return_value"))
