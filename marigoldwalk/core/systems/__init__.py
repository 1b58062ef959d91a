"""Systems: handlers that work on the core's tables and register themselves by decorators.

The import order does not matter to any handler.
"""

from __future__ import annotations

from . import (  # noqa: F401
    admission,
    allowances,
    answers,
    budgets,
    claims,
    clock,
    configuration,
    dispatch,
    entry_trials,
    handover,
    health,
    homes,
    jobs,
    membership,
    planning,
    readiness,
    replies,
    statuses,
    stopping,
    subrequests,
    suspects,
    trials,
    waits,
)
