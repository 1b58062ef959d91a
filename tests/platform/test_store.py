from __future__ import annotations

import pytest

from marigoldwalk.gateway.facts import (
    ConfigFact,
    DomainFact,
    HistoryLostError,
    ServerFact,
    ServerGone,
    StoreError,
)
from marigoldwalk.platform import store as store_module
from marigoldwalk.platform.mirror import Mirror
from marigoldwalk.platform.store import StoreClient
from standins.gateway_backends import (
    MALFORMED_REPLIES,
    StandinServer,
    StandinStore,
    config_record,
    stopping,
)


@pytest.fixture
def standin():
    standin = StandinStore()
    with stopping(standin):
        yield standin


@pytest.fixture
def client(standin):
    client = StoreClient(standin.address, Mirror(lambda: True))
    yield client
    client.close()


def fill(standin, count=5):
    server = StandinServer("i-0")
    with stopping(server):
        for number in range(count):
            standin.put(f"servers/i-{number}", server.registration("s-1"))
    standin.put("op/config", config_record())


def test_all_pages_are_read_and_watching_goes_on_from_the_first(standin, client):
    fill(standin)
    told = client.read()
    kinds = [type(fact) for fact in told.facts]
    assert kinds.count(ServerFact) == 5
    assert kinds.count(ConfigFact) == 1
    assert told.revision == standin.revision


def test_changes_are_told_with_their_kind(standin, client):
    fill(standin, 1)
    after = client.read().revision
    standin.put("op/evacuate/north", {})
    standin.delete("servers/i-0")
    standin.delete("op/evacuate/north")
    told = client.watch(after, 1.0)
    assert told.facts == (
        DomainFact("north", True),
        ServerGone("i-0"),
        DomainFact("north", False),
    )
    assert told.revision == standin.revision


def test_a_watch_without_changes_ends_after_its_wait(standin, client):
    assert client.watch(standin.revision, 0.01).facts == ()


def test_history_that_is_gone_is_told_apart(standin, client):
    after = standin.revision
    standin.put("op/config", config_record())
    standin.compact()
    with pytest.raises(HistoryLostError):
        client.watch(after, 0.01)


@pytest.mark.parametrize("failure", ["busy", "silent", *MALFORMED_REPLIES])
def test_a_store_that_fails_is_an_error_and_recovers(standin, client, failure, monkeypatch):
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 0.05)
    standin.failure = failure
    with pytest.raises(StoreError):
        client.read()
    standin.failure = None
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 5.0)
    assert client.read().facts == ()


def test_a_store_that_is_away_is_an_error(standin):
    address = standin.address
    standin.stop()
    with pytest.raises(StoreError):
        StoreClient(address, Mirror(lambda: True)).read()


def test_a_value_that_is_not_base64_names_no_server(standin, client):
    standin.items["servers/i-1"] = {"key": "servers/i-1", "value": "é", "revision": 11}
    assert client.read().facts == (ServerGone("i-1", is_unreadable=True),)


def test_a_read_that_lags_is_brought_up_to_date(standin, client):
    fill(standin, 3)
    standin.delete("servers/i-1")
    standin.put("op/evacuate/north", {})
    standin.lag = 2
    told = client.read()
    assert told.revision == standin.revision
    assert told.facts[-2:] == (ServerGone("i-1"), DomainFact("north", True))
    assert sorted(client.mirror._items) == sorted(standin.items)
    assert standin.calls[-1] == ("watch", standin.revision - 2)


def test_a_read_that_lags_behind_the_history_is_made_again(standin, client):
    fill(standin, 3)
    standin.delete("servers/i-1")
    standin.lag = 1
    standin.compact()
    standin.put("servers/i-9", {})
    told = client.read()
    assert told.revision == standin.revision
    assert sorted(client.mirror._items) == sorted(standin.items)
