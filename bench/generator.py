"""Open-loop load generator: ``python -m bench.generator``.

Arrivals are seeded Poisson processes. Each query is sent at its scheduled time, whether or not
earlier queries have finished, and its latency is measured from that time. A slow system therefore
cannot hide its delays by slowing down the load (coordinated omission).
"""

from __future__ import annotations

import json
import random
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import gevent
import urllib3
from cyclopts import App

from marigoldwalk.util.gevent_pool import GeventConnectionPool

from .bodies import bodies
from .load_plan import CONNECTION_LOST, Outcome, ReceivedHit, read_plan, write_outcomes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .load_plan import LoadPlan, Stream

app = App(name="generator", help="Send loads and record the outcome of each query.")

START_DELAY_S = 0.1
"""Time between the message that announces a load and the start of the load."""
GIVE_UP_AFTER_S = 1.0
"""Time after its deadline at which the generator gives up on an unanswered query."""
READINESS_POLL_S = 0.25
"""Interval between readiness checks, like those of a platform's load balancer."""
POOL_CONNECTIONS = 512


class Balancer:
    """Spreads queries at random over the daemons that were ready at the last check."""

    def __init__(self, targets: tuple[str, ...], rng: random.Random) -> None:
        self._pools = {target: _pool(target) for target in targets}
        self._ready = list(targets)
        self._rng = rng

    def choose(self) -> GeventConnectionPool:
        """Return the connection pool of a random ready daemon, or of any if none is ready."""
        return self._pools[self._rng.choice(self._ready or list(self._pools))]

    def poll_readiness(self) -> None:
        """Check the readiness of all daemons at regular intervals, forever."""
        while True:
            gevent.sleep(READINESS_POLL_S)
            checks = {target: gevent.spawn(_is_ready, pool) for target, pool in self._pools.items()}
            gevent.joinall(list(checks.values()))
            self._ready = [target for target, check in checks.items() if check.value]


class Generator:
    """Sends one load and records the outcome of each query."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._balancer = Balancer(plan.targets, random.Random(plan.seed))
        self._outcomes: list[Outcome] = []
        self._started = 0.0

    def run(self, started: float) -> list[Outcome]:
        """Send the load, starting at the monotonic time *started*, and return all outcomes."""
        self._started = started
        poller = gevent.spawn(self._balancer.poll_readiness)
        streams = [
            gevent.spawn(self._send_stream, stream, random.Random(f"{self._plan.seed}:{number}"))
            for number, stream in enumerate(self._plan.streams)
        ]
        gevent.joinall(streams, raise_error=True)
        gevent.joinall([query for stream in streams for query in stream.value], raise_error=True)
        poller.kill()
        return self._outcomes

    def _send_stream(self, stream: Stream, rng: random.Random) -> list[gevent.Greenlet]:
        queries = []
        for at_s in arrivals(stream.rate_qps, self._plan.seconds, rng):
            body = bodies.get(stream.group)(rng)
            gevent.sleep(max(0.0, self._started + at_s - time.monotonic()))
            queries.append(gevent.spawn(self._query, stream, body, at_s))
        return queries

    def _query(self, stream: Stream, body: dict[str, Any], at_s: float) -> None:
        reply = self._post_query(stream, body)
        latency_s = time.monotonic() - self._started - at_s
        self._outcomes.append(_outcome(stream, body, at_s, latency_s, reply))

    def _post_query(self, stream: Stream, body: dict[str, Any]) -> dict[str, Any] | None:
        """Return the decoded response, or ``None`` if no valid one arrived in time."""
        text = json.dumps({"group": stream.group, "body": body})
        pool = self._balancer.choose()
        try:
            with gevent.Timeout(stream.deadline_s + GIVE_UP_AFTER_S):
                reply = pool.urlopen("POST", "/query", body=text, retries=False)
                return reply.json()
        except (gevent.Timeout, urllib3.exceptions.HTTPError, OSError, ValueError):
            return None


def _pool(target: str) -> GeventConnectionPool:
    host, _, port = target.partition(":")
    return GeventConnectionPool(host, int(port), maxsize=POOL_CONNECTIONS, block=False)


def _is_ready(pool: GeventConnectionPool) -> bool:
    try:
        with gevent.Timeout(READINESS_POLL_S):
            return pool.urlopen("GET", "/ready", retries=False).status == 200
    except (gevent.Timeout, urllib3.exceptions.HTTPError, OSError):
        return False


def arrivals(rate_qps: float, seconds: float, rng: random.Random) -> Iterator[float]:
    """Yield the arrival times of a Poisson process, in seconds, up to *seconds*."""
    at_s = rng.expovariate(rate_qps)
    while at_s < seconds:
        yield at_s
        at_s += rng.expovariate(rate_qps)


def _outcome(
    stream: Stream,
    body: dict[str, Any],
    at_s: float,
    latency_s: float,
    reply: dict[str, Any] | None,
) -> Outcome:
    if reply is None:
        return Outcome(stream.group, body, at_s, latency_s, CONNECTION_LOST, "outcome unknown")
    coverage = reply["coverage"]
    return Outcome(
        stream.group,
        body,
        at_s,
        latency_s,
        reply["code"],
        reply["execution"],
        reply["snapshot"],
        coverage["shards"],
        coverage["answered"],
        tuple(missing["shard"] for missing in coverage["missing"]),
        reply["subrequests"],
        tuple(ReceivedHit(hit["key"], hit["score"]) for hit in reply["hits"]),
    )


@app.default
def main() -> None:
    """Send loads until standard input closes.

    Each input line is a JSON object with two paths: ``plan`` is the load plan to read, ``outcomes``
    the file to write. For each load, two JSON lines are printed: its start and its end, in Unix
    seconds.
    """
    for line in sys.stdin:
        files = json.loads(line)
        generator = Generator(read_plan(Path(files["plan"])))
        started = time.monotonic() + START_DELAY_S
        _report({"started_at": time.time() + START_DELAY_S})
        write_outcomes(generator.run(started), Path(files["outcomes"]))
        _report({"ended_at": time.time()})


def _report(message: dict[str, float]) -> None:
    sys.stdout.write(json.dumps(message) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    app()
