"""The state that decisions on routed requests work on."""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .budgets import BudgetLimits, RetryBudget
from .catalog import Catalog
from .cold import ColdAllowances
from .lags import LagTracker
from .latencies import LatencyTracker
from .queueing import TaskQueue
from .splits import SplitChooser
from .suspects import Suspects

if TYPE_CHECKING:
    from .exchanges import Action
    from .model import Route


@dataclass(frozen=True, slots=True)
class RoutingLimits:
    """Bounds that the operators of the backend servers set."""

    retries: BudgetLimits = field(default_factory=lambda: BudgetLimits(0.2, 10.0, 52.0))
    cold_factor: float = 1.5
    """Requests that a cold server may get, as a multiple of what it says it bears."""
    cold_slack: float = 5.0
    """Requests a second beyond that."""
    caller_delay_s: float = 0.003
    """One-way delay between a caller and this daemon."""


class RoutingWorld:
    """All tables of one daemon's routing, the time of the step and the actions it led to."""

    def __init__(self, domain: str, limits: RoutingLimits, started_at: float = 0.0) -> None:
        self.domain = domain
        self.limits = limits
        self.started_at = started_at
        self.now = started_at
        self.members = 1
        """Daemons that may be sending to the same servers, this one included."""
        self.shard_share = 1.0
        """This daemon's share of what the fleet may send to the servers of shards."""
        self.lags = LagTracker()
        self.catalog = Catalog()
        self.splits = SplitChooser()
        self.cold = ColdAllowances(limits)
        self.suspects = Suspects()
        self.counters: Counter[str] = Counter()
        self.actions: list[Action] = []
        self._budgets: dict[str, RetryBudget] = {}
        self._latencies: dict[str, LatencyTracker] = {}
        self._queues: dict[str, TaskQueue] = {}
        self._attempt_numbers = itertools.count(1)

    def next_attempt_number(self) -> int:
        """Return a number that no other attempt has."""
        return next(self._attempt_numbers)

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of repeated sends to *service*."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self.limits.retries, self.started_at)
        return budget

    def latencies(self, route: Route) -> LatencyTracker:
        """Return the usual latencies of *route*."""
        tracker = self._latencies.get(route.name)
        if tracker is None:
            tracker = self._latencies[route.name] = LatencyTracker(route.target_s)
        return tracker

    def share(self, service: str) -> float:
        """Return this daemon's share of what the fleet may send to the servers of *service*."""
        if service in self.catalog.shards:
            return self.shard_share
        return 1 / self.members

    def queue(self, service: str) -> TaskQueue:
        """Return the tasks that wait for a server of *service*."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = TaskQueue()
        return queue

    def take_actions(self) -> list[Action]:
        """Return the actions of the step and forget them."""
        actions, self.actions = self.actions, []
        return actions
