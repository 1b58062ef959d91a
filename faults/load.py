"""Callers that query a fleet during a scenario and record the answers."""

from __future__ import annotations

import random
import threading
import time
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from marigoldwalk.client import Client, QueryOptions
from marigoldwalk.errors import Code, Execution
from standins.data import CITY_LATITUDE_DEG, CITY_LONGITUDE_DEG, CITY_RADIUS_DEG, MODELS

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldwalk.client import Answer

    from .fleet import FaultFleet

CALL_TIMEOUT_S = 2.5
SHORT_TIMEOUT_S = 0.006
"""Time-out after which some callers close the connection and send to another daemon."""
SHORT_TIMEOUT_RATIO = 0.15
LATE_RESEND_RATIO = 0.2
LATE_RESEND_S = (1.0, 9.0)
MAX_ATTEMPTS = 5
"""Maximum calls with one request id, not counting the late resend."""
QUERY_INTERVAL_S = (0.05, 0.25)
"""Range of a caller's pause between two queries."""
OWNER_COUNT = 240


@dataclass(frozen=True, slots=True)
class Query:
    """A caller's query; ``at_most_once`` if it must not be executed twice.

    ``request_id`` and ``issued_at`` are empty until the client has assigned them in the first call.
    """

    group: str
    index: str
    body: dict[str, Any]
    limit: int
    key: str = ""
    at_most_once: bool = False
    request_id: str = ""
    issued_at: float = 0.0

    def options(self) -> QueryOptions:
        """Return the options with which the client sends the query."""
        return QueryOptions(
            self.group,
            self.body,
            key=self.key,
            limit=self.limit,
            repeatable=not self.at_most_once,
            request_id=self.request_id,
            issued_at=self.issued_at,
        )

    def with_id(self, answer: Answer) -> Query:
        """Return the query with the request id that the client assigned."""
        return replace(self, request_id=answer.request_id, issued_at=answer.issued_at)


@dataclass(frozen=True, slots=True)
class Call:
    """One call of a daemon with a query, and its answer; times are Unix seconds."""

    query: Query
    daemon: str
    sent_at: float
    received_at: float
    short_timeout: bool
    answer: Answer

    @property
    def lost_reply(self) -> bool:
        """Whether the daemon sent no reply within the full time-out."""
        return not self.answer.daemon and not self.short_timeout

    @property
    def reported_not_run(self) -> bool:
        """Whether a daemon replied that the request was not executed."""
        return self.answer.execution is Execution.NOT_RUN and bool(self.answer.daemon)

    @property
    def abandoned(self) -> bool:
        """Whether a caller with the short time-out did not wait for the reply."""
        return not self.answer.daemon and self.short_timeout


def nearest_kiosk_query(rng: random.Random) -> Query:
    """Return a query for the kiosks nearest to a random place."""
    return Query("kiosk-finder", "kiosks", _nearest_body(rng), 5)


def technician_query(rng: random.Random) -> Query:
    """Return a query of the technician dispatch for kiosks near a random place."""
    return Query("technician-dispatch", "kiosks", _nearest_body(rng), 20)


def stock_query(rng: random.Random) -> Query:
    """Return a query for the stock of two models over all kiosks."""
    models = rng.sample(MODELS, 2)
    return Query("stock", "kiosks", {"op": "stock", "models": models}, 50)


def _nearest_body(rng: random.Random) -> dict[str, Any]:
    return {
        "op": "nearest",
        "lat": round(CITY_LATITUDE_DEG + rng.uniform(-CITY_RADIUS_DEG, CITY_RADIUS_DEG), 5),
        "lon": round(CITY_LONGITUDE_DEG + rng.uniform(-CITY_RADIUS_DEG, CITY_RADIUS_DEG), 5),
    }


FAN_OUT_QUERIES = (nearest_kiosk_query, nearest_kiosk_query, stock_query, technician_query)


@dataclass(slots=True)
class Callers:
    """Threads that send queries to the daemons in ``targets`` until they are stopped.

    ``targets`` stands for the daemons that a balancer would select; scenarios replace it.
    """

    fleet: FaultFleet
    seed: int
    targets: tuple[str, ...]
    reader_count: int = 3
    owner_count: int = 2
    calls: list[Call] = field(default_factory=list)
    _threads: list[threading.Thread] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)

    def start(self) -> None:
        """Start the threads."""
        for number in range(self.reader_count):
            self._spawn(self._read, number)
        for number in range(self.owner_count):
            self._spawn(self._settle, number)

    def stop(self) -> None:
        """Wait for the calls in progress and end the threads."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def send(self, query: Query, daemon: str, timeout_s: float = CALL_TIMEOUT_S) -> Call:
        """Send *query* to *daemon* and record the call."""
        client = Client([self.fleet.daemons[daemon].caller_address], timeout_s)
        sent_at = time.time()
        answer = client.query(query.options())
        short_timeout = timeout_s < CALL_TIMEOUT_S
        call = Call(query.with_id(answer), daemon, sent_at, time.time(), short_timeout, answer)
        self.calls.append(call)
        return call

    def _spawn(self, target: Callable[[random.Random, str], None], number: int) -> None:
        # The name seeds the generator, so renaming a target changes the queries of every seed.
        name = f"{target.__name__.strip('_')}-{number}"
        rng = random.Random(f"{self.seed}-{name}")
        thread = threading.Thread(target=target, args=(rng, name), name=name, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _read(self, rng: random.Random, name: str) -> None:
        """Send queries that fan out and may be executed more than once."""
        while not self._stopped.wait(rng.uniform(*QUERY_INTERVAL_S)):
            self.send(rng.choice(FAN_OUT_QUERIES)(rng), rng.choice(self.targets))

    def _settle(self, rng: random.Random, name: str) -> None:
        """Send at-most-once queries, and send some again seconds later with the same request id."""
        late: list[tuple[float, Query]] = []
        while not self._stopped.wait(rng.uniform(*QUERY_INTERVAL_S)):
            last = self._send_until_known(_settlement_query(rng), rng)
            if not last.reported_not_run and rng.random() < LATE_RESEND_RATIO:
                late.append((time.time() + rng.uniform(*LATE_RESEND_S), last.query))
            due = [query for when, query in late if when <= time.time()]
            late = [entry for entry in late if entry[1] not in due]
            for query in due:
                self.send(query, rng.choice(self.targets))

    def _send_until_known(self, query: Query, rng: random.Random) -> Call:
        """Send one request to one daemon after another until its outcome is known."""
        targets = list(self.targets)
        rng.shuffle(targets)
        for daemon in targets[:MAX_ATTEMPTS]:
            short_timeout = rng.random() < SHORT_TIMEOUT_RATIO
            call = self.send(query, daemon, SHORT_TIMEOUT_S if short_timeout else CALL_TIMEOUT_S)
            query = call.query
            if call.reported_not_run or call.answer.execution is Execution.RAN:
                break
            if call.answer.code is Code.NO_QUORUM:
                self._stopped.wait(min(call.answer.retry_after_s, 0.2))
        return call


def _settlement_query(rng: random.Random) -> Query:
    owner = f"o-{rng.randint(1, OWNER_COUNT):04d}"
    return Query("owner-portal", "settlements", {"op": "get", "key": owner}, 1, owner, True)
