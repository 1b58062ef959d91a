"""Delegates that send queries of several kinds to the same shards, in virtual time."""

from __future__ import annotations

import heapq

from marigoldwalk.routing.exchanges import ErrorAnswer, MergedAnswer

from .fleet import Fleet
from .simulation import SHED, fan_out_route, registration, server_reply

DOMAINS = ("north", "centre", "south")
SHARDS = [f"s-{number}" for number in range(8)]
SLOTS = 2
QUEUE = 12
NETWORK_S = 0.002

URGENT = fan_out_route(SHARDS, 0.85, name="r-urgent", prefix="/urgent/", priority=0, target_s=0.096)
LONG = fan_out_route(SHARDS, 0.95, name="r-long", prefix="/long/", priority=1, target_s=0.348)
WORK_S = {"r-urgent": 0.014, "r-long": 0.042}


class ShardServer:
    """A server that runs tasks in the order of arrival, two at a time."""

    def __init__(self, service, domain):
        self.server_id = f"{service}-{domain}"
        self.service = service
        self.domain = domain
        self.most_waiting = 0
        self._free_at = [0.0] * SLOTS
        self._starts = []

    def record(self):
        return registration(self.server_id, self.service, self.domain)

    def is_listening(self, now):
        return True

    def answer(self, daemon, attempt):
        now = daemon.now
        self._starts = [start for start in self._starts if start > now]
        if len(self._starts) >= QUEUE:
            return NETWORK_S, SHED
        work_s = WORK_S[attempt.task.exchange.route.name]
        start = max(now, heapq.heappop(self._free_at))
        heapq.heappush(self._free_at, start + work_s)
        if start > now:
            self._starts.append(start)
            self.most_waiting = max(self.most_waiting, len(self._starts))
        return start + work_s - now + NETWORK_S, server_reply()


class SharedShards(Fleet):
    """Two delegates in each failure domain, and a server of each shard in each of them."""

    step_s = 0.001

    def __init__(self, seed=1):
        servers = [ShardServer(shard, domain) for shard in SHARDS for domain in DOMAINS]
        super().__init__([URGENT, LONG], servers, DOMAINS * 2, seed)

    def offer(self, rates, for_s):
        """Send queries at random times to random delegates; *rates* are by route."""
        start = self.now
        times = []
        for route, per_s in rates.items():
            at = start
            while (at := at + self.rng.expovariate(per_s)) < start + for_s:
                times.append((at, route))
        for number, (at, route) in enumerate(sorted(times)):
            daemon = self.rng.choice(self.daemons)
            daemon.schedule(at, self._asking(daemon, route, number))
        self.run(for_s + 2.0)

    def _asking(self, daemon, route, number):
        return lambda: daemon.ask(f"{route.prefix}1", f"{route.name}-{number}", 0.8)

    def _answers(self, route):
        for daemon in self.daemons:
            for name, answer in daemon.answers.items():
                if name.startswith(route.name):
                    yield answer, daemon.answered_at[name] - daemon.requested_at[name]

    def share_in_time(self, route):
        answers = list(self._answers(route))
        in_time = sum(
            isinstance(answer, MergedAnswer) and elapsed_s <= route.target_s
            for answer, elapsed_s in answers
        )
        return in_time / len(answers)

    def mean_coverage(self, route):
        parts = [
            1.0 - answer.missing_count / len(SHARDS)
            for answer, _ in self._answers(route)
            if isinstance(answer, MergedAnswer)
        ]
        return sum(parts) / len(parts)

    def refused_share(self, route):
        answers = [answer for answer, _ in self._answers(route)]
        return sum(isinstance(answer, ErrorAnswer) for answer in answers) / len(answers)

    def count(self, counter):
        return sum(daemon.world.counters[counter] for daemon in self.daemons)
