"""Callers that query a fleet while it fails, and what they were told."""

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
"""Time after which an impatient caller cuts its connection and sends elsewhere."""
SHORT_TIMEOUT_RATIO = 0.15
LATE_RESEND_RATIO = 0.2
LATE_RESEND_S = (1.0, 9.0)
MAX_ATTEMPTS = 5
"""Most sendings of one request id before the last, late one."""
QUERY_INTERVAL_S = (0.05, 0.25)
"""Pause of a caller between two queries."""
OWNER_COUNT = 240


@dataclass(frozen=True, slots=True)
class Query:
    """What a caller asks; ``once`` if it may run only once.

    ``request_id`` and ``issued_at`` are empty until the client has named its first sending.
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
        """Return the question as the client takes it."""
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
        """Return the question with the id that the client gave it."""
        return replace(self, request_id=answer.request_id, issued_at=answer.issued_at)


@dataclass(frozen=True, slots=True)
class Call:
    """One sending of a question to one daemon; times are Unix seconds."""

    query: Query
    daemon: str
    sent_at: float
    received_at: float
    short_timeout: bool
    answer: Answer

    @property
    def lost_reply(self) -> bool:
        """Whether the daemon left a patient caller without a reply."""
        return not self.answer.daemon and not self.short_timeout

    @property
    def reported_not_run(self) -> bool:
        """Whether a daemon said that nothing ran."""
        return self.answer.execution is Execution.NOT_RUN and bool(self.answer.daemon)

    @property
    def abandoned(self) -> bool:
        """Whether an impatient caller did not wait for the reply."""
        return not self.answer.daemon and self.short_timeout


def nearest_kiosk_query(rng: random.Random) -> Query:
    """Ask for the kiosks nearest to a random place."""
    return Query("kiosk-finder", "kiosks", _nearest_body(rng), 5)


def technician_query(rng: random.Random) -> Query:
    """Ask for kiosks near a random place, at leisure."""
    return Query("technician-dispatch", "kiosks", _nearest_body(rng), 20)


def stock_query(rng: random.Random) -> Query:
    """Ask for the stock of some models over all kiosks."""
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

    ``targets`` is what a balancer would send to; scenarios replace it.
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
        """Begin to send."""
        for number in range(self.reader_count):
            self._spawn(self._read, number)
        for number in range(self.owner_count):
            self._spawn(self._settle, number)

    def stop(self) -> None:
        """Finish what was begun and end the threads."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def send(self, query: Query, daemon: str, timeout_s: float = CALL_TIMEOUT_S) -> Call:
        """Send *question* to *daemon* and note the answer."""
        client = Client([self.fleet.daemons[daemon].caller_address], timeout_s)
        sent_at = time.time()
        answer = client.query(query.options())
        short_timeout = timeout_s < CALL_TIMEOUT_S
        call = Call(query.with_id(answer), daemon, sent_at, time.time(), short_timeout, answer)
        self.calls.append(call)
        return call

    def _spawn(self, target: Callable[[random.Random, str], None], number: int) -> None:
        name = f"{target.__name__.strip('_')}-{number}"
        rng = random.Random(f"{self.seed}-{name}")
        thread = threading.Thread(target=target, args=(rng, name), name=name, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _read(self, rng: random.Random, name: str) -> None:
        while not self._stopped.wait(rng.uniform(*QUERY_INTERVAL_S)):
            self.send(rng.choice(FAN_OUT_QUERIES)(rng), rng.choice(self.targets))

    def _settle(self, rng: random.Random, name: str) -> None:
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
        """Send under one id, each time through another daemon, while the outcome is unknown."""
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
