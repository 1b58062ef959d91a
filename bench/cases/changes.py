"""Time until all daemons have applied a configuration change."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from .loads import MAIN_GROUPS
from .registry import cases

if TYPE_CHECKING:
    from ..results import Results
    from ..rig import Rig

OFFERED_LOAD = 0.3
CHANGES_COUNT = 5
CHANGE_PAUSE_S = 0.5
TIMEOUT_S = 8.0


@cases.register("changes")
def changes(rig: Rig, results: Results) -> None:
    """Publish revisions under load and poll all daemons until each revision is applied."""
    times_s: list[float] = []

    def publish(started_at: float) -> None:
        for _ in range(CHANGES_COUNT):
            time.sleep(CHANGE_PAUSE_S)
            revision = rig.fleet.publish()
            times_s.append(_time_until_applied_s(rig, revision))

    group = MAIN_GROUPS[rig.options.deployment]
    result = rig.load([rig.stream(group, OFFERED_LOAD)], during=publish)
    results.add_load(rig, "changes", f"{CHANGES_COUNT} changes", {group: OFFERED_LOAD}, result)
    results.add_measurement(rig, "changes", "longest time until applied", max(times_s), "s")


def _time_until_applied_s(rig: Rig, revision: int) -> float:
    return rig.wait_until(lambda: _applied_everywhere(rig, revision), TIMEOUT_S)


def _applied_everywhere(rig: Rig, revision: int) -> bool:
    addresses = [daemon.admin_address for daemon in rig.fleet.daemons.values()]
    return all(
        rig.fleet.get_json(address, "/status")["revision"] >= revision for address in addresses
    )
