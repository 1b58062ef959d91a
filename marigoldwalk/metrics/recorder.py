"""Measurements of the answers that a daemon sends."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..errors import Execution

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

    from ..core.actions import AnswerCaller

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
MAX_WORKSPACES = 20
"""Number of workspaces with counts of their own, which bounds the number of time series."""
OTHER_WORKSPACES = "other"
"""Label of the counts of all further ones."""


class Recorder:
    """A latency histogram and counts of shards and subrequests for each group.

    Answers to requests that did not run are not recorded: refusals are fast and would hide the
    latency that callers see, and their group may be any text that a caller sent.
    """

    def __init__(self) -> None:
        self.latency_us: dict[str, HdrHistogram] = {}
        """Latency by group, in microseconds."""
        self.shards_wanted: Counter[str] = Counter()
        self.shards_answered: Counter[str] = Counter()
        self.subrequests: Counter[str] = Counter()
        self.workspace_refusals: Counter[tuple[str, str]] = Counter()
        """Refused and failed requests by workspace and reason."""
        self._workspaces: set[str] = set()

    def record(self, answer: AnswerCaller) -> None:
        """Record one answer."""
        if answer.execution is Execution.NOT_RUN:
            return
        self.record_latency(answer.group, answer.elapsed_s)
        self.shards_wanted[answer.group] += answer.answered + len(answer.missing)
        self.shards_answered[answer.group] += answer.answered
        self.subrequests[answer.group] += answer.subrequests

    def record_latency(self, group: str, elapsed_s: float) -> None:
        """Record the latency of one answer for *group*, the name of a group or route."""
        self._histogram(group).record_value(_microseconds(elapsed_s))

    def record_refusal(self, workspace: str, reason: str) -> None:
        """Record a request of *workspace* that was refused or failed."""
        if len(self._workspaces) < MAX_WORKSPACES:
            self._workspaces.add(workspace)
        label = workspace if workspace in self._workspaces else OTHER_WORKSPACES
        self.workspace_refusals[label, reason] += 1

    def _histogram(self, group: str) -> HdrHistogram:
        histogram = self.latency_us.get(group)
        if histogram is None:
            # Loaded with the first answer, since callers wait for the start of a daemon.
            from hdrh.histogram import HdrHistogram

            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.latency_us[group] = histogram
        return histogram


def _microseconds(seconds: float) -> int:
    return min(max(int(seconds * 1e6), LOWEST_US), HIGHEST_US)
