from __future__ import annotations

from collections import Counter
from types import SimpleNamespace

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marigoldwalk.config.view import Address
from marigoldwalk.gateway.gossip import GossipTransport, decode, encode
from marigoldwalk.gateway.quota_exchange import QuotaExchange
from marigoldwalk.gateway.quota_messages import QuotaMessage, encode_quota
from marigoldwalk.routing.membership import MemberReport, Membership
from marigoldwalk.routing.model import RoutingConfig, Workspace
from marigoldwalk.routing.quota_buckets import QuotaAnswer, QuotaAsk
from marigoldwalk.routing.quotas import WorkspaceQuotas
from marigoldwalk.routing.suspects import Suspects
from marigoldwalk.routing.world import RoutingLimits, RoutingWorld
from marigoldwalk.util.clock import Clock
from standins.gateway_backends import (
    StandinServer,
    StandinStore,
    config_record,
    route_record,
    stopping,
)

from .daemons import Daemon, ask, request, wait_until

WORKSPACE = Workspace("w-1", rate_per_s=1.0, burst=2.0)
MESSAGES = [
    QuotaMessage("m-1", ask=QuotaAsk(7, "w-1", 3, 0.5, 2.0, -1, True, True)),
    QuotaMessage("m-1", answer=QuotaAnswer(7, False, 1.25, 2.5, True, True, True)),
    QuotaMessage("m-1", scarce="w-1"),
]


class Node:
    """The part of a daemon that keeps quotas, with a socket."""

    def __init__(self, name):
        clock = Clock()
        self.counters = Counter()
        own = MemberReport(name, Address("127.0.0.1", 0), 1, 1, "north")
        self.membership = Membership(own, [], clock.now())
        self.world = RoutingWorld("north", RoutingLimits(), clock.now() - 60.0)
        self.world.catalog.apply_config(RoutingConfig(1, (), {}, workspaces=(WORKSPACE,)))
        self.quotas = WorkspaceQuotas(self.world, self.membership, has_seeds=True)
        self.exchange = QuotaExchange(self.quotas, self.membership, clock.now, self.counters)
        self.transport = GossipTransport(
            self.membership,
            Suspects(),
            own.address,
            clock.now,
            self.counters,
            lambda: None,
            self.exchange,
        )
        address = Address(*self.transport.address)
        self.membership.own = MemberReport(name, address, 1, 1, "north")
        self.now = clock.now

    def admit(self, workspace=WORKSPACE):
        request = SimpleNamespace(workspace=workspace)
        return self.exchange.admit(
            SimpleNamespace(request=request, route=SimpleNamespace(target_s=1.0))
        )


@pytest.fixture
def nodes():
    started = [Node(f"m-{number}") for number in range(5)]
    for node in started:
        others = [other.membership.own for other in started if other is not node]
        node.membership.merge(others, node.now())
        node.transport.start()
        node.quotas.heard("", node.now())
    yield started
    for node in started:
        node.transport.stop()


def holder_of(nodes):
    name = nodes[0].quotas.holder_names("w-1", nodes[0].now())[0]
    return next(node for node in nodes if node.membership.own.name == name)


@pytest.mark.parametrize("message", MESSAGES)
def test_decoded_message_is_the_encoded_one(message):
    assert decode(encode_quota(message)).quota == message


def test_datagram_without_a_quota_has_no_message_about_one():
    assert decode(encode([], [])).quota is None


@given(st.sampled_from(MESSAGES), st.integers(0, 200), st.integers(0, 255))
def test_decoding_a_corrupted_message_raises_nothing(message, index, value):
    data = bytearray(encode_quota(message))
    data[index % len(data)] = value
    decode(bytes(data))


@pytest.mark.parametrize("rate", [0.0, -1.0, float("nan"), float("inf")])
def test_ask_with_an_impossible_rate_is_malformed(rate):
    assert decode(encode_quota(QuotaMessage("m-1", ask=QuotaAsk(7, "w-1", 3, rate, 2.0)))) is None


def test_daemons_admit_no_more_than_the_quota_together(nodes):
    refusals = []
    for number in range(60):
        refusals.append(nodes[number % len(nodes)].admit())
        gevent.sleep(0.003)
    admitted = refusals.count(None)
    refused = [refusal for refusal in refusals if refusal is not None]
    assert 3 <= admitted <= 12
    assert {refusal.status for refusal in refused} == {429}
    assert all(refusal.retry_after_s > 0 for refusal in refused)
    assert sum(node.counters["quota.unanswered"] for node in nodes) == 0
    bucket = holder_of(nodes).quotas.buckets.get("w-1")
    assert bucket.tokens < 1.0


def test_request_that_did_not_run_is_given_back(nodes):
    node = next(node for node in nodes if node is not holder_of(nodes))
    assert node.admit() is None
    wait_until(lambda: holder_of(nodes).quotas.buckets.get("w-1") is not None)
    tokens = holder_of(nodes).quotas.buckets.get("w-1").tokens
    node.exchange.give_back(SimpleNamespace(request=SimpleNamespace(workspace=WORKSPACE)))
    wait_until(lambda: holder_of(nodes).quotas.buckets.get("w-1").tokens >= tokens + 1.0)


def test_requests_are_admitted_while_the_holder_does_not_answer(nodes):
    holder_of(nodes).transport.stop()
    node = next(node for node in nodes if node is not holder_of(nodes))
    for _ in range(3):
        assert node.admit() is None
        gevent.sleep(0.3)
    assert node.counters["quota.unanswered"] >= 1


def test_workspace_without_a_limit_costs_no_message(nodes):
    assert nodes[0].admit(Workspace("w-2")) is None
    assert nodes[0].admit(None) is None
    assert not any("quota" in name for name in nodes[0].counters)


def test_caller_over_the_quota_gets_429_and_when_to_retry():
    server = StandinServer("i-1", b"the whole body")
    store = StandinStore()
    record = config_record(1, [route_record()], ["s-1"])
    record["tenants"] = [{"name": "w-1", "api-keys": ["k-1"], "rate-per-s": 0.5, "burst": 1}]
    with stopping(store, server):
        store.put("servers/i-1", server.registration("s-1"))
        store.put("op/config", record)
        daemon = Daemon(store)
        try:
            daemon.wait_until_ready()
            wait_until(lambda: daemon.gateway.world.catalog.rows)
            requests = [
                request(request_id=f"q-{number}", headers=["X-Api-Key: k-1"])
                for number in range(30)
            ]
            responses = ask(daemon, *requests)
        finally:
            daemon.kill()
    statuses = [status for status, _, _ in responses]
    assert statuses[0] == 200
    assert statuses[-1] == 429
    assert statuses.count(200) <= 12
    assert float(responses[-1][1]["retry-after"]) > 0
    assert responses[-1][2] == b"over_quota"
