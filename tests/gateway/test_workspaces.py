"""Keys and workspaces on their way from a caller to a server, also through another daemon."""

from __future__ import annotations

import json
import logging
from contextlib import contextmanager

import pytest

from marigoldwalk.routing.delegation import Delegation
from marigoldwalk.routing.membership import MemberReport
from standins.gateway_backends import StandinServer, config_record, route_record

from . import daemons
from .daemons import Daemon, ask, deployment, request, wait_until
from .test_admin import get

ROUTES = [
    route_record(name="keyed"),
    route_record("/open/", name="open", public=True),
    route_record(
        "/all/", service=None, **{"fanout-services": ["s-1"], "top-k": 1, "min-coverage": 0.5}
    ),
]
TENANTS = [{"name": "t-1", "api-keys": ["k-1"]}, {"name": "t-2", "api-keys": ["k-2"]}]
KEY = "X-Api-Key: k-1"
FORGED = ["X-Marigoldwalk-Tenant-Id: t-2", "x-gateway-workspace: t-2", "X-Gateway-Version: 2"]


@contextmanager
def keyed_deployment(tenants=TENANTS):
    """Run a deployment whose configuration has workspaces; yields daemon, store and server."""
    server = StandinServer("i-1", b"A" * 16)
    with deployment(ROUTES, {"s-1": [server]}) as (daemon, store):
        set_tenants(daemon, store, 2, tenants)
        yield daemon, store, server


def set_tenants(daemon, store, version, tenants):
    store.put("op/config", config_record(version, ROUTES, ["s-1"]) | {"tenants": tenants})
    wait_until(lambda: daemon.gateway.world.catalog.config.version == version)


def received(server):
    """Return which of the headers in question the last request had at *server*."""
    names = ("HTTP_X_API_KEY", "HTTP_X_MARIGOLDWALK_TENANT_ID", "HTTP_X_GATEWAY_WORKSPACE")
    return [server.headers[-1].get(name) for name in names]


def test_servers_receive_the_workspace_and_never_the_key():
    with keyed_deployment() as (daemon, _, server):
        assert ask(daemon, request(headers=[KEY, *FORGED]))[0][0] == 200
        assert received(server) == [None, "t-1", None]
        assert ask(daemon, request("/open/1", headers=FORGED))[0][0] == 200
        assert received(server) == [None, None, None]


def test_requests_without_a_known_key_reach_no_server(caplog):
    caplog.set_level(logging.INFO)
    with keyed_deployment() as (daemon, _, server):
        missing, unknown = ask(daemon, request(), request(headers=["X-Api-Key: k-9"]))
        assert (missing[0], unknown[0]) == (401, 401)
        assert server.requests == []
        counters = daemon.gateway.world.counters
        assert (counters["refusal.missing_key"], counters["refusal.unknown_key"]) == (1, 1)
    assert "k-9" not in str([record.__dict__ for record in caplog.records])


def test_withdrawn_key_is_refused():
    with keyed_deployment() as (daemon, store, _):
        set_tenants(daemon, store, 3, TENANTS[1:])
        assert ask(daemon, request(headers=[KEY]))[0][0] == 401


def test_keys_pass_as_any_header_without_workspaces():
    with keyed_deployment(tenants=[]) as (daemon, _, server):
        assert ask(daemon, request(headers=[KEY, FORGED[0]]))[0][0] == 200
        assert received(server) == ["k-1", "t-2", None]


@contextmanager
def delegating_to(store, monkeypatch):
    delegate = Daemon(store)
    delegate.wait_until_ready()
    wait_until(lambda: delegate.gateway.world.catalog.config.version == 2)
    report = MemberReport("m-delegate", delegate.gateway.peer_address, 1, 1, "north", 1.0)
    monkeypatch.setattr(Delegation, "choose", lambda *_: report)
    try:
        yield delegate
    finally:
        delegate.kill()


@pytest.mark.parametrize("forged", [[], FORGED])
def test_delegate_receives_the_workspace_and_not_the_key(monkeypatch, forged):
    with keyed_deployment() as (daemon, store, server), delegating_to(store, monkeypatch) as other:
        keys_seen = []
        open_forwarded = other.gateway._frontend._router.open_forwarded

        def record(asked, version, name):
            keys_seen.append((asked.key_digests, version, name))
            return open_forwarded(asked, version, name)

        other.gateway._frontend._router.open_forwarded = record
        assert ask(daemon, request("/all/1", headers=[KEY, *forged]))[0][0] == 200
        assert keys_seen == [((), 2, "t-1")]
        assert received(server) == [None, "t-1", None]
        assert other.gateway.world.counters["answer.whole"] == 1


def test_delegate_that_does_not_know_the_workspace_refuses_and_the_query_runs_locally(monkeypatch):
    with keyed_deployment() as (daemon, store, server), delegating_to(store, monkeypatch) as other:
        other.gateway.world.catalog.workspaces(2)._by_name.clear()
        assert ask(daemon, request("/all/1", headers=[KEY]))[0][0] == 200
        assert daemon.gateway.world.counters["carry.failed"] == 1
        assert received(server) == [None, "t-1", None]


def test_status_shows_workspaces_and_metrics_count_their_refusals(monkeypatch):
    monkeypatch.setattr(daemons, "SETTINGS", daemons.SETTINGS + "admin_address: 127.0.0.1:0\n")
    with keyed_deployment() as (daemon, store, _):
        store.put("servers/i-1", {"service": "s-1"})
        wait_until(lambda: not daemon.gateway.world.catalog.rows)
        assert ask(daemon, request(headers=[KEY]))[0][0] == 503
        status = json.loads(get(daemon, "/status").body)
        explained = [json.loads(get(daemon, f"/explain/{name}").body) for name in ("keyed", "open")]
        text = get(daemon, "/metrics").body.decode()
    assert [(w["name"], w["keys"]) for w in status["workspaces"]] == [("t-1", 1), ("t-2", 1)]
    assert [entry["needs_key"] for entry in explained] == [True, False]
    assert 'marigoldwalk_workspace_refusal_total{reason="no_server",workspace="t-1"} 1.0' in text
    assert "k-1" not in text + json.dumps(status)
