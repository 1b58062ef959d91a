from __future__ import annotations

import time

import pytest

from marigoldwalk.routing import first_read
from standins.gateway_backends import (
    StandinServer,
    StandinStore,
    config_record,
    route_record,
    stopping,
)

from .daemons import Daemon, ask, request


@pytest.fixture
def store():
    store, server = StandinStore(), StandinServer("i-1", b"the whole body")
    with stopping(store, server):
        store.put("servers/i-1", server.registration("s-1"))
        store.put("op/config", config_record(1, [route_record()], ["s-1"]))
        yield store


@pytest.fixture
def starting_daemon(store):
    daemon = Daemon(store)
    yield daemon
    daemon.kill()


def test_request_is_held_until_the_configuration_is_known(starting_daemon):
    gateway = starting_daemon.gateway
    assert not gateway.is_ready()
    assert ask(starting_daemon, request())[0][0] == 200
    assert gateway.world.counters["start.held"] == 1


def test_requests_are_not_held_once_the_store_has_been_read(starting_daemon):
    starting_daemon.wait_until_ready()
    assert ask(starting_daemon, request())[0][0] == 200
    assert starting_daemon.gateway.world.counters["start.held"] == 0


def test_request_is_refused_as_soon_as_the_first_read_fails(store, starting_daemon):
    store.failure = "busy"
    asked_at = time.monotonic()
    status, _, body = ask(starting_daemon, request())[0]
    assert (status, body) == (503, b"not_ready")
    assert time.monotonic() - asked_at < first_read.MAX_HOLD_S / 2


def test_request_is_refused_if_the_store_does_not_answer(store, starting_daemon, monkeypatch):
    monkeypatch.setattr(first_read, "MAX_HOLD_S", 0.1)
    store.failure = "silent"
    assert ask(starting_daemon, request())[0][0] == 503
    assert starting_daemon.gateway.world.counters["start.held"] == 1
