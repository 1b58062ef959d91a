"""A recorded session of one daemon as text: the events it handles and the actions it returns.

``python -m tests.core.session`` rewrites the golden file.
"""

from __future__ import annotations

from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import get_args

from marigoldwalk.config.view import Address
from marigoldwalk.core.actions import Action
from marigoldwalk.core.parameters import Parameters
from marigoldwalk.errors import Code

from .fakes import CRASH
from .fleet import START, FleetDriver
from .views import make_view

GOLDEN = Path(__file__).parent / "golden" / "session.txt"
DAEMON = "m-1"
PARAMETERS = Parameters(
    claim_s=2.0, clock_skew_s=0.0, list_lag_s=0.2, list_age_s=0.7, balancer_lag_s=0.3
)
_KEY_BITS = 20
_FIRST_KEY = int(START * 1000) << _KEY_BITS
_ACTIONS = get_args(Action)


def run_session() -> FleetDriver:
    """Run the session: queries, a repeated request, an exclusion, a crash, a pause and a stop."""
    fleet = FleetDriver(3, view=make_view(services=2, canary=True), parameters=PARAMETERS)
    fleet.run(2.5)
    fleet.ask(DAEMON, body="muro")
    fleet.run(0.1)
    issued_at = fleet.now
    fleet.ask(DAEMON, "record", request_id="r-1", issued_at=issued_at, first_sending=True)
    fleet.run(0.1)
    fleet.ask(DAEMON, "record", request_id="r-1", issued_at=issued_at)
    fleet.ask(DAEMON, "unknown")
    excluded = ["s-0-0"]
    fleet.publish(make_view(2, services=2, canary=True, excluded=excluded))
    fleet.run(0.6)
    fleet.ask(DAEMON, body="tanque")
    fleet.run(0.1)
    fleet.ask(DAEMON, body=CRASH)
    fleet.run(0.5)
    fleet.pause(DAEMON, 1.5)
    fleet.run(1.0)
    fleet.ask(DAEMON, body="muro")
    fleet.run(1.0)
    fleet.stop(DAEMON)
    fleet.ask(DAEMON, body="muro")
    fleet.run(0.6)
    return fleet


def describe(fleet: FleetDriver, daemon: str) -> str:
    """Return one line for each event (``<``) and action (``>``) of a daemon, with its time."""
    lines = []
    for at, name, entry in fleet.log:
        if name == daemon:
            direction = ">" if isinstance(entry, _ACTIONS) else "<"
            lines.append(f"{at - START:8.4f} {direction} {_text(entry)}")
    return "\n".join(lines) + "\n"


def _text(value: object) -> str:
    if isinstance(value, Address):
        return str(value)
    if is_dataclass(value):
        parts = [f"{item.name}={_text(getattr(value, item.name))}" for item in fields(value)]
        return f"{type(value).__name__}({', '.join(parts)})"
    if isinstance(value, tuple):
        return f"[{', '.join(_text(item) for item in value)}]"
    if isinstance(value, Code | Enum):
        return value.name
    if isinstance(value, float):
        return _number(value)
    if isinstance(value, int) and value >= _FIRST_KEY:
        return f"#{value - _FIRST_KEY}"
    return repr(value)


def _number(value: float) -> str:
    if value >= START:
        return f"t{value - START:.4f}"
    return f"{value:.4f}"


if __name__ == "__main__":
    GOLDEN.write_text(describe(run_session(), DAEMON), encoding="utf-8")
