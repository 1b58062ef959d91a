"""A fleet of daemons that keep the quota of one workspace, in virtual time."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import replace
from random import Random

from marigoldwalk.config.view import Address
from marigoldwalk.gateway.quota_exchange import MAX_WAIT_S, REPORT_TIMEOUT_S
from marigoldwalk.routing.membership import SUSPECT_AFTER_S, MemberReport, MemberRow
from marigoldwalk.routing.model import RoutingConfig, Workspace
from marigoldwalk.routing.quotas import QuotaDecision, WorkspaceQuotas
from marigoldwalk.routing.world import RoutingLimits, RoutingWorld

GOSSIP_INTERVAL_S = 0.5


class View:
    """The members as one daemon sees them: silent ones count as alive for a while."""

    def __init__(self, daemon):
        self.daemon = daemon

    @property
    def own(self):
        return self.daemon.report

    def rows(self):
        return [MemberRow(d.report, 0.0) for d in self.daemon.fleet.daemons if d is not self.daemon]

    def alive(self, now):
        return [
            MemberRow(daemon.report, now)
            for daemon in self.daemon.fleet.daemons
            if daemon is not self.daemon
            and now - max(self._lost_at(daemon), 0.0) < SUSPECT_AFTER_S + self.daemon.view_lag_s
        ]

    def _lost_at(self, other):
        now = self.daemon.fleet.now
        if self.daemon.reaches(other):
            return now
        return min(self.daemon.lost_at(now), other.lost_at(now))

    def possible_member_count(self):
        return len(self.daemon.fleet.daemons)


class Daemon:
    def __init__(self, fleet, number, view_lag_s):
        self.fleet = fleet
        self.view_lag_s = view_lag_s
        self.is_up = True
        self.group = 0
        """Daemons reach those of the same group."""
        self.changed_at = 0.0
        address = Address("10.0.0.1", number)
        self.report = MemberReport(f"m-{number}", address, 1, 0, "north")
        self.config = fleet.config
        self.start(is_old=True)

    def start(self, is_old=False):
        now = self.fleet.now
        self.is_up = True
        started_at = now - 60.0 if is_old else now
        self.report = replace(self.report, incarnation=int(started_at * 1000))
        self.world = RoutingWorld("north", self.fleet.limits, started_at)
        self.world.catalog.apply_config(self.config)
        self.quotas = WorkspaceQuotas(self.world, View(self), self.fleet.count > 1)
        if is_old:
            self.quotas.heard("", now)

    def lost_at(self, now):
        return self.changed_at if not self.is_up or self.group else now

    def reaches(self, other):
        return self.is_up and other.is_up and self.group == other.group

    def apply(self, config):
        self.config = config
        self.world.catalog.apply_config(config)


class QuotaFleet:
    """Delivers datagrams with drawn delays and losses and records what is admitted and refused."""

    def __init__(self, count, workspace, seed=0, loss=0.0, max_delay_s=0.002, started_at=1000.0):
        self.random = Random(seed)
        self.count = count
        self.now = started_at
        self.limits = RoutingLimits()
        self.config = RoutingConfig(1, (), {}, workspaces=(workspace,))
        self.loss = loss
        self.max_delay_s = max_delay_s
        self.admitted = []
        self.refused = []
        self._events = []
        self._numbers = itertools.count()
        self.daemons = []
        for number in range(count):
            self.daemons.append(Daemon(self, number, self.random.uniform(0.0, 2.0)))
        for daemon in self.daemons:
            daemon.quotas.members_changed(started_at - 30.0)
        self.at(started_at, self._gossip)

    def at(self, time, function, *arguments):
        heapq.heappush(self._events, (time, next(self._numbers), function, arguments))

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now = until

    @property
    def holders(self):
        """The daemons in the order in which they hold the quota of the workspace."""
        name = self.config.workspaces[0].name
        names = self.daemons[0].quotas.holder_names(name, self.now)
        return [self.named(name) for name in names]

    def named(self, name):
        return next(daemon for daemon in self.daemons if daemon.report.name == name)

    def kill(self, daemon):
        daemon.is_up = False
        daemon.changed_at = self.now

    def cut(self, daemon, group):
        daemon.group = group
        daemon.changed_at = self.now

    def heal(self, daemon):
        daemon.group = 0

    def request(self, daemon):
        """Decide about a request as the gateway does."""
        if not daemon.is_up:
            return
        workspace = daemon.config.workspaces[0]
        decision = daemon.quotas.decide(workspace, self.now)
        if decision is QuotaDecision.REFUSE:
            self.refused.append((self.now, daemon.quotas.retry_s(workspace, self.now)))
            return
        is_admitted = decision is QuotaDecision.ADMIT
        steps = daemon.quotas.ask(workspace, self.now, is_admitted=is_admitted)
        if is_admitted:
            self.admitted.append(self.now)
            self._advance(daemon, steps, None, REPORT_TIMEOUT_S, lambda answer: None)
        else:
            self._advance(daemon, steps, None, MAX_WAIT_S, lambda a: self._decided(daemon, a))

    def max_in_window(self):
        """Return the largest number of requests that were admitted within one window."""
        window_s = self.limits.quotas.window_s
        times = sorted(self.admitted)
        first = most = 0
        for last, time in enumerate(times):
            while time - times[first] > window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    def bound(self, workspace):
        limits = self.limits.quotas
        owed = workspace.rate_per_s * limits.window_s + workspace.burst
        return owed * (1 + limits.overage) + limits.slack

    def _decided(self, daemon, answer):
        workspace = daemon.config.workspaces[0]
        if answer is None:
            retry_s = daemon.quotas.use_share(workspace, self.now)
        else:
            retry_s = None if answer.is_granted else answer.retry_s
        if retry_s is None:
            self.admitted.append(self.now)
        else:
            self.refused.append((self.now, retry_s))

    def _advance(self, daemon, steps, value, timeout_s, done):
        try:
            query = steps.send(value)
        except StopIteration as end:
            self._notify(daemon)
            done(end.value)
            return
        is_waiting = [True]
        workspace = daemon.config.workspaces[0]

        def answered(answer):
            if answer is not None:
                daemon.quotas.heard(query.holder, self.now)
            if is_waiting[0]:
                is_waiting[0] = False
                self._advance(daemon, steps, (answer, self.now), timeout_s, done)
            elif answer is not None:
                daemon.quotas.record_late(workspace, answer, self.now)

        self.at(self.now + timeout_s, answered, None)
        self._deliver(daemon, self.named(query.holder), self._handle, daemon, query, answered)

    def _handle(self, sender, query, answered):
        holder = self.named(query.holder)
        holder.quotas.heard(sender.report.name, self.now)
        answer = holder.quotas.handle(query.ask, self.now)
        self._deliver(holder, sender, answered, answer)
        self._notify(holder)
        for workspace, name in holder.quotas.take_probes():
            steps = holder.quotas.probe(workspace, name, self.now)
            self._advance(holder, steps, None, REPORT_TIMEOUT_S, lambda a: None)

    def _notify(self, daemon):
        name = self.config.workspaces[0].name
        if daemon.quotas.is_notice_due(name, self.now):
            daemon.quotas.record_scarce(name, self.now)
            for other in self.daemons:
                self._deliver(daemon, other, self._record_scarce, other, name)

    def _record_scarce(self, daemon, name):
        daemon.quotas.record_scarce(name, self.now)

    def _deliver(self, sender, receiver, function, *arguments):
        if self.random.random() < self.loss:
            return
        delay_s = self.random.uniform(0.0003, self.max_delay_s)

        def arrive():
            if sender.reaches(receiver) or sender is receiver:
                function(*arguments)

        self.at(self.now + delay_s, arrive)

    def _gossip(self):
        """Stand in for gossip, of which each connected daemon receives some."""
        for daemon in self.daemons:
            if any(daemon.reaches(other) for other in self.daemons if other is not daemon):
                daemon.quotas.heard("", self.now)
                daemon.quotas.members_changed(self.now)
        self.at(self.now + GOSSIP_INTERVAL_S, self._gossip)


def ask_for(fleet, rate_per_s, from_s, to_s, skew):
    """Schedule requests at random times; the larger *skew*, the fewer daemons receive most."""
    for time in random_times(fleet, rate_per_s, from_s, to_s):
        send_at(fleet, time, skew)


def ask_within_quota(fleet, workspace, rate_per_s, from_s, to_s, skew):
    """The same, without the requests beyond the rate and the burst of *workspace*."""
    capacity = tokens = max(1.0, workspace.burst)
    updated_at = fleet.now
    for time in random_times(fleet, rate_per_s, from_s, to_s):
        tokens = min(capacity, tokens + (time - updated_at) * workspace.rate_per_s)
        updated_at = time
        if tokens >= 1.0:
            tokens -= 1.0
            send_at(fleet, time, skew)


def send_at(fleet, time, skew):
    daemons = fleet.daemons
    weights = [1 / (rank + 1) ** skew for rank in range(len(daemons))]
    fleet.at(time, fleet.request, fleet.random.choices(daemons, weights)[0])


def random_times(fleet, rate_per_s, from_s, to_s):
    time = fleet.now + from_s
    end = fleet.now + to_s
    while (time := time + fleet.random.expovariate(rate_per_s)) < end:
        yield time


def make_workspace(rate_per_s, burst):
    return Workspace("w-1", rate_per_s=rate_per_s, burst=burst)
