"""Routing in virtual time against scripted backend servers."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass

from marigoldwalk.config.view import Address
from marigoldwalk.routing.exchanges import (
    Abandon,
    CallerRequest,
    CheckLinks,
    Exchange,
    Finish,
    LossReason,
    LostAttempt,
    Probe,
    Send,
    ServerReply,
)
from marigoldwalk.routing.isolation import CHECK_INTERVAL_S
from marigoldwalk.routing.model import (
    FanOut,
    Registration,
    Route,
    RoutingConfig,
    Service,
    WeightedService,
)
from marigoldwalk.routing.router import Router
from marigoldwalk.routing.senders import Senders
from marigoldwalk.routing.world import RoutingLimits, RoutingWorld

HOST = "desk.example"


def registration(server_id, service="s-1", domain="north", **changes):
    fields = {
        "server_id": server_id,
        "service": service,
        "address": Address("10.0.0.1", 8000),
        "domain": domain,
        "slots": 2,
        "draining": False,
        "cold_left_s": 0.0,
        "started_at_ms": 1000,
        "sequence": 1,
    }
    return Registration(**(fields | changes))


def single_route(service="s-1", **changes):
    fields = {
        "name": "r-1",
        "host": HOST,
        "prefix": "/one/",
        "idempotent": True,
        "timeout_s": 2.0,
        "target_s": 0.3,
        "max_attempts": 2,
        "priority": 1,
        "splits": (WeightedService(service, 1.0),),
    }
    return Route(**(fields | changes))


def fan_out_route(shards, min_coverage=0.75, **changes):
    fan_out = FanOut(tuple(shards), 5, min_coverage)
    return single_route(
        **({"name": "r-all", "prefix": "/all/", "splits": (), "fan_out": fan_out} | changes)
    )


def routing_config(routes, services, version=1, **limits):
    described = {
        name: Service(name, limits.get("max_connections", 25), 3.0, 0.0) for name in services
    }
    return RoutingConfig(version, tuple(routes), described)


def server_reply(body=b"0" * 16, status=200, signature="sig", executed=True):
    return ServerReply(status, (), body, signature, executed)


PROBE_S = 0.002
"""Time in which a server takes or refuses a connection."""
SHED = ServerReply(503, (), b"", "", executed=False)
REFUSED = LostAttempt(LossReason.CONNECT_FAILED, may_have_run=False)
RESET = LostAttempt(LossReason.CLOSED, may_have_run=True)
SILENT = None


@dataclass
class Script:
    """The answers of a server, one for each attempt; the last one repeats.

    An answer is a tuple of delay and outcome, or a function that returns one for a given time.
    """

    answers: list
    sends: list

    def answer(self):
        index = min(len(self.sends) - 1, len(self.answers) - 1)
        return self.answers[index]


class Simulation:
    """A router with its servers and callers in virtual time."""

    def __init__(self, routes, servers, members=1, domain="north", limits=None, max_connections=25):
        self.now = 100.0
        self.world = RoutingWorld(domain, limits or RoutingLimits(), self.now - 100.0)
        self.world.senders = Senders("m-0", tuple(f"m-{number}" for number in range(members)))
        self.world.shard_share = 1 / members
        self.router = Router(self.world)
        self.scripts = {}
        self.answers = {}
        self.answered_at = {}
        self.requested_at = {}
        self.abandoned = []
        self.sent = []
        self._events = []
        self._numbers = itertools.count()
        self._timers = {}
        for server_id, (service, domain_, *answers) in servers.items():
            self.scripts[server_id] = Script(answers or [(0.03, server_reply())], [])
            self.world.catalog.apply_registration(
                registration(server_id, service, domain_), self.now
            )
        services = {service for service, *_ in servers.values()}
        self.world.catalog.apply_config(
            routing_config(routes, services, max_connections=max_connections)
        )

    def ask(self, path="/one/1", request_id="q-1", wait_s=2.0, fingerprint=""):
        self.requested_at[request_id] = self.now
        request = CallerRequest(
            request_id, "GET", HOST, path, self.now, self.now + wait_s, fingerprint
        )
        exchange = self.router.open(request)
        if isinstance(exchange, Exchange):
            exchange = self.router.late_refusal(exchange, self.now) or exchange
        if not isinstance(exchange, Exchange):
            self.answers[request_id] = exchange
            self.answered_at[request_id] = self.now
            return None
        self.start(exchange)
        return exchange

    def start(self, exchange):
        self._perform(self.router.start(exchange, self.now))
        self._arm(exchange)

    def run(self, for_s):
        end = self.now + for_s
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def begin_stop(self, left_s):
        """Begin a planned stop in which the last answers are due in *left_s*."""
        self.router.begin_stop(self.now + left_s)
        for exchange in list(self.world.exchanges):
            self._arm(exchange)

    def disconnect(self, exchange):
        self.router.caller_left(exchange, self.now)
        self._arm(exchange)

    def schedule(self, time, action):
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def _perform(self, actions):
        for action in actions:
            if isinstance(action, Send):
                self._send(action.attempt)
            elif isinstance(action, Finish):
                request_id = action.exchange.request.request_id
                assert request_id not in self.answers, "answered twice"
                self.answers[request_id] = action.answer
                self.answered_at[request_id] = self.now
            elif isinstance(action, Abandon):
                self.abandoned.append(action.attempt)
                self._end(action.attempt, LostAttempt(LossReason.ABANDONED, may_have_run=True))
            elif isinstance(action, Probe):
                self.schedule(self.now + PROBE_S, lambda probe=action: self._end_probe(probe))
            elif isinstance(action, CheckLinks):
                self.schedule(self.now + PROBE_S, lambda check=action: self._end_check(check))

    def _send(self, attempt):
        server_id = attempt.row.server_id
        self.sent.append((self.now, server_id, attempt.task.exchange.request.request_id))
        delay_s, outcome = self._answer(attempt)
        if outcome is not None:
            self.schedule(self.now + delay_s, lambda: self._end(attempt, outcome))
        self._arm(attempt.task.exchange)

    def _answer(self, attempt):
        """Return the delay and the outcome of an attempt."""
        script = self.scripts[attempt.row.server_id]
        script.sends.append(self.now)
        answer = script.answer()
        return answer(self.now) if callable(answer) else answer

    def _end(self, attempt, outcome):
        if not attempt.is_open:
            return
        step = self.router.reply if outcome else self.router.lost
        self._perform(step(attempt, outcome, self.now))
        self._arm(attempt.task.exchange)

    def _end_probe(self, probe):
        if not probe.attempt.is_open:
            return
        failure = None if self._is_listening(probe.attempt.row.server_id) else REFUSED
        self._perform(self.router.probed(probe, failure, self.now))
        self._arm(probe.attempt.task.exchange)

    def _end_check(self, check):
        unopened = [row for row in check.rows if not self._is_listening(row.server_id)]
        for row in check.rows:
            if row not in unopened:
                self.router.link_opened(row, self.now)
        self._perform(self.router.links_checked(check, unopened, self.now))
        if self.router.is_isolated:
            next_at = self.now + CHECK_INTERVAL_S
            self.schedule(next_at, lambda: self._perform(self.router.check_links(self.now)))

    def _is_listening(self, server_id):
        return True

    def _arm(self, exchange):
        due = self.router.next_due_at(exchange)
        self._timers[exchange] = due
        if due is not None:
            self.schedule(max(due, self.now), lambda: self._on_timer(exchange, due))

    def _on_timer(self, exchange, due):
        if self._timers.get(exchange) != due:
            return
        self._perform(self.router.perform_due(exchange, self.now))
        self._arm(exchange)
