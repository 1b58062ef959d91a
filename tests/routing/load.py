"""Backend servers with slots and a queue, and callers that offer a load, in virtual time."""

from __future__ import annotations

import heapq
import random

from marigoldwalk.routing.exchanges import ErrorAnswer, MergedAnswer, ServerReply

from .simulation import SHED, Simulation, fan_out_route, server_reply

SHARDS = [f"s-{n}" for n in range(8)]


class BusyServer:
    """A server that runs requests in *slots*, queues some more and sheds the rest."""

    def __init__(self, work_s, slots=2, queue=12):
        self.shed_count = 0
        self.arrivals = 0
        self._work_s = work_s
        self._queue = queue
        self._free_at = [0.0] * slots
        self._starts = []

    def answer(self, now):
        self.arrivals += 1
        self._starts = [start for start in self._starts if start > now]
        if len(self._starts) >= self._queue:
            self.shed_count += 1
            return 0.001, SHED
        start = max(now, heapq.heappop(self._free_at))
        heapq.heappush(self._free_at, start + self._work_s)
        if start > now:
            self._starts.append(start)
        return start + self._work_s - now + 0.001, server_reply()


class Load:
    """One daemon with all of the callers, and eight shards with two servers each.

    A shard can run four requests at a time, 133 a second at 30 ms.
    """

    def __init__(self, routes=None, work_s=0.03, seed=1, scripts=None):
        self.servers = {
            f"{shard}-{domain}": BusyServer(work_s) for shard in SHARDS for domain in "ab"
        }
        scripts = scripts or {
            name: (name.rpartition("-")[0], "north", server.answer)
            for name, server in self.servers.items()
        }
        routes = routes or [fan_out_route(SHARDS, 0.85, target_s=0.18)]
        self.simulation = Simulation(routes, scripts)
        self._random = random.Random(seed)
        self._count = 0

    def offer(self, per_s, for_s, path="/all/1", wait_s=1.5):
        """Schedule requests at random times, and return their ids."""
        ids = []
        at = self.simulation.now
        end = at + for_s
        while (at := at + self._random.expovariate(per_s)) < end:
            self._count += 1
            ids.append(f"q-{self._count}")
            self.simulation.schedule(
                at, lambda name=ids[-1]: self.simulation.ask(path, name, wait_s)
            )
        return ids

    def in_time(self, ids, target_s=0.18):
        simulation = self.simulation
        return [
            name
            for name in ids
            if isinstance(simulation.answers[name], MergedAnswer)
            and simulation.answered_at[name] - simulation.requested_at[name] <= target_s
        ]

    def refused(self, ids):
        answers = {name: self.simulation.answers[name] for name in ids}
        return [
            name
            for name, answer in answers.items()
            if isinstance(answer, ErrorAnswer) and answer.status == 503
        ]

    def failed(self, ids):
        answers = [self.simulation.answers[name] for name in ids]
        return [a for a in answers if isinstance(a, ErrorAnswer) and a.status != 503]

    @property
    def shed_share(self):
        arrivals = sum(server.arrivals for server in self.servers.values())
        return sum(server.shed_count for server in self.servers.values()) / arrivals


def pause_reply(pause_s, is_leaving=False):
    """Return a 503 with a ``Retry-After`` of *pause_s*."""
    return ServerReply(503, (), b"", "", False, is_leaving=is_leaving, pause_s=pause_s)
