"""Scenarios in which daemons cannot reach each other."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from marigoldwalk.errors import Code

from .scenario import scenario

if TYPE_CHECKING:
    from .scenario import Run

PARTITION_S = 15.0
DETECTION_S = 2.0
"""Time within which daemons detect a partition."""


@scenario("09-partition-halves", lost_replies_allowed=False, relayed=True)
def partition_halves(run: Run) -> None:
    """Partition the fleet into two halves, neither of which may claim request ids."""
    run.continue_load(2.0)
    one, other = run.daemon_names[:3], run.daemon_names[3:]
    cut_at = time.time()
    run.fleet.partition(one, other)
    run.continue_load(PARTITION_S)
    healed_at = time.time()
    run.fleet.heal_partition()
    run.continue_load(6.0)
    claimed = [
        call
        for call in run.callers.calls
        if call.query.at_most_once
        and call.query.issued_at > cut_at + DETECTION_S
        and call.received_at < healed_at
        and call.answer.code is Code.OK
    ]
    run.findings.expect(not claimed, f"{len(claimed)} request ids were claimed without a majority")


@scenario("10-partition-minority", lost_replies_allowed=False, relayed=True)
def partition_minority(run: Run) -> None:
    """Isolate two daemons twice, so that replies from one partition arrive in the next."""
    run.continue_load(2.0)
    one, other = run.daemon_names[:2], run.daemon_names[2:]
    for _ in range(2):
        run.fleet.partition(one, other)
        run.continue_load(5.0)
        run.fleet.heal_partition()
        run.continue_load(2.0)
    run.continue_load(4.0)
