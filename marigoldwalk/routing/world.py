"""The state on which routing decisions are based."""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .admission import Admission
from .answer_lag import AnswerLagTracker
from .budgets import BudgetLimits, RetryBudget
from .catalog import Catalog
from .cold import ColdRateLimiter
from .latencies import LatencyTracker
from .queueing import TaskQueue
from .reachability import Reachability
from .senders import Senders
from .slot_reserve import SlotReserve
from .splits import SplitChooser
from .suspects import Suspects

if TYPE_CHECKING:
    from .exchanges import Action, Exchange
    from .model import Route


@dataclass(frozen=True, slots=True)
class QuotaLimits:
    """Tolerance for the quotas of workspaces, summed over all daemons.

    In any window, at most ``(rate * window_s + burst) * (1 + overage) + slack`` requests run.
    """

    window_s: float = 5.0
    overage: float = 0.25
    slack: float = 20.0


@dataclass(frozen=True, slots=True)
class RoutingLimits:
    """Limits set by the operators of the backend servers."""

    retries: BudgetLimits = field(default_factory=lambda: BudgetLimits(0.2, 10.0, 52.0))
    cold_factor: float = 1.5
    """Maximum request rate to a cold server, as a multiple of the rate that its service states."""
    cold_slack: float = 5.0
    """Requests per second allowed in addition to that."""
    caller_delay_s: float = 0.003
    """One-way delay between a caller and this daemon."""
    rate_window_s: float = 4.0
    """Time window for which a limit that a server states is checked."""
    rate_factor: float = 1.5
    """Tolerated number of requests in the window, as a multiple of what the limit allows."""
    rate_slack: float = 5.0
    """Requests tolerated in addition to that."""
    drain_s: float = 3.0
    """Time for which a server that has said that it is leaving may still receive requests."""
    quotas: QuotaLimits = field(default_factory=QuotaLimits)
    revoke_fail_closed: bool = False
    """Whether requests with keys are refused while withdrawn keys might go unnoticed."""
    revoke_s: float = 5.0
    """Time without news of the store after which withdrawn keys might go unnoticed."""


class RoutingWorld:
    """All routing state of one daemon, the time of the current step and the actions it produced."""

    def __init__(self, domain: str, limits: RoutingLimits, started_at: float = 0.0) -> None:
        self.domain = domain
        self.limits = limits
        self.started_at = started_at
        self.now = started_at
        self.senders = Senders("", ("",))
        self.shard_share = 1.0
        """This daemon's share of the fleet-wide limits for the servers of shards."""
        self.admission = Admission()
        self.answer_by = float("inf")
        """Latest time at which callers can be answered, since this daemon is stopping."""
        self.is_delegate = False
        """Whether this daemon executes the fan-out queries of other daemons."""
        self.slot_reserve = SlotReserve()
        self.answer_lag = AnswerLagTracker()
        self.catalog = Catalog()
        self.splits = SplitChooser()
        self.cold = ColdRateLimiter(limits)
        self.counters: Counter[str] = Counter()
        self.suspects = Suspects(self.counters)
        self.reachability = Reachability(started_at)
        self.actions: list[Action] = []
        self.exchanges: dict[Exchange, None] = {}
        """The exchanges that are not answered yet, oldest first."""
        self._budgets: dict[str, RetryBudget] = {}
        self._latencies: dict[str, LatencyTracker] = {}
        self._queues: dict[str, TaskQueue] = {}
        self._attempt_numbers = itertools.count(1)

    @property
    def member_count(self) -> int:
        """Number of daemons that may be sending to the same servers, including this one."""
        return len(self.senders.members)

    def next_attempt_number(self) -> int:
        """Return a unique number for a new attempt."""
        return next(self._attempt_numbers)

    def budget(self, service: str) -> RetryBudget:
        """Return the budget for retries and hedges to *service*."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self.limits.retries, self.started_at)
        return budget

    def latencies(self, route: Route) -> LatencyTracker:
        """Return the latency statistics of *route*."""
        tracker = self._latencies.get(route.name)
        if tracker is None:
            tracker = self._latencies[route.name] = LatencyTracker(route.target_s)
        return tracker

    def share(self, service: str) -> float:
        """Return this daemon's share of the fleet-wide limits for the servers of *service*."""
        if service in self.catalog.shards:
            return self.shard_share
        return 1 / self.member_count

    def queue(self, service: str) -> TaskQueue:
        """Return the queue of tasks that wait for a server of *service*."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = TaskQueue()
        return queue

    def take_actions(self) -> list[Action]:
        """Return the actions of the current step and clear them."""
        actions, self.actions = self.actions, []
        return actions
