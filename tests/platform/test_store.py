from __future__ import annotations

import pytest

from marigoldwalk.gateway.store_interface import (
    UNKNOWN_ERA,
    ConfigUpdate,
    DomainUpdate,
    EarlierEraError,
    EraChangedError,
    HistoryLostError,
    ServerRemoved,
    ServerUpdate,
    StoreError,
)
from marigoldwalk.platform import store as store_module
from marigoldwalk.platform.mirror import Mirror
from marigoldwalk.platform.records import decode_item
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


def registrations(batch):
    return [update.registration for update in batch.updates if isinstance(update, ServerUpdate)]


def test_read_returns_all_pages_and_the_latest_revision(standin, client):
    fill(standin)
    batch = client.read()
    kinds = [type(update) for update in batch.updates]
    assert kinds.count(ServerUpdate) == 5
    assert kinds.count(ConfigUpdate) == 1
    assert batch.revision == standin.revision


def test_watch_returns_changes_by_kind(standin, client):
    fill(standin, 1)
    after = client.read().revision
    standin.put("op/evacuate/north", {})
    standin.delete("servers/i-0")
    standin.delete("op/evacuate/north")
    batch = client.watch(after, 1.0)
    assert batch.updates == (
        DomainUpdate("north", True),
        ServerRemoved("i-0"),
        DomainUpdate("north", False),
    )
    assert batch.revision == standin.revision


def test_watch_without_changes_times_out_empty(standin, client):
    client.read()
    assert client.watch(standin.revision, 0.01).updates == ()


def test_watch_after_compaction_raises_history_lost(standin, client):
    after = standin.revision
    standin.put("op/config", config_record())
    standin.compact()
    with pytest.raises(HistoryLostError):
        client.watch(after, 0.01)


@pytest.mark.parametrize("failure", ["busy", "silent", *MALFORMED_REPLIES])
def test_failing_store_raises_an_error_until_it_recovers(standin, client, failure, monkeypatch):
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 0.05)
    standin.failure = failure
    with pytest.raises(StoreError):
        client.read()
    standin.failure = None
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 5.0)
    assert client.read().updates == ()


def test_unreachable_store_raises_an_error(standin):
    address = standin.address
    standin.stop()
    with pytest.raises(StoreError):
        StoreClient(address, Mirror(lambda: True)).read()


def test_value_that_is_not_base64_is_an_unreadable_server(standin, client):
    standin.items["servers/i-1"] = {"key": "servers/i-1", "value": "é", "revision": 11}
    assert client.read().updates == (ServerRemoved("i-1", is_unreadable=True),)


def test_entry_whose_decoding_fails_costs_no_other_entry(standin, client, monkeypatch):
    """An exception that no decoder expects stopped all reading of the store."""
    fill(standin, 2)

    def decode(key, value):
        if key == "servers/i-1" and value:
            raise RuntimeError("unexpected")
        return decode_item(key, value)

    monkeypatch.setattr(store_module, "decode_item", decode)
    updates = client.read().updates
    assert ServerRemoved("i-1", is_unreadable=True) in updates
    assert sorted(type(update).__name__ for update in updates) == [
        "ConfigUpdate",
        "ServerRemoved",
        "ServerUpdate",
    ]


def test_era_that_is_no_number_is_unknown(standin, client):
    standin.era = "9" * 5000
    assert client.read().era == UNKNOWN_ERA


def test_stale_read_is_brought_up_to_date_by_a_watch(standin, client):
    fill(standin, 3)
    standin.delete("servers/i-1")
    standin.put("op/evacuate/north", {})
    standin.lag = 2
    batch = client.read()
    assert batch.revision == standin.revision
    assert {u.server_id for u in registrations(batch)} == {"i-0", "i-2"}
    assert not any(isinstance(update, ServerRemoved) for update in batch.updates)
    assert DomainUpdate("north", True) in batch.updates
    assert sorted(client.mirror._items) == sorted(standin.items)
    assert standin.calls[-1] == ("watch", standin.revision - 2)


def test_read_returns_the_last_entry_of_a_server_that_changed_since_the_stale_pages(
    standin, client
):
    """Both entries were applied in turn, the older one as if it were news."""
    server = StandinServer("i-1")
    with stopping(server):
        standin.put("servers/i-1", server.registration("s-1", born=2000, sequence=7))
        standin.put("servers/i-1", server.registration("s-1", born=1000, sequence=1))
    standin.lag = 1
    assert [r.started_at_ms for r in registrations(client.read())] == [1000]


def test_stale_read_is_repeated_if_history_is_compacted(standin, client):
    fill(standin, 3)
    standin.delete("servers/i-1")
    standin.lag = 1
    standin.compact()
    standin.put("servers/i-9", {})
    batch = client.read()
    assert batch.revision == standin.revision
    assert sorted(client.mirror._items) == sorted(standin.items)


def test_responses_without_an_era_are_read_as_one_unknown_era(standin, client):
    standin.era = 0
    fill(standin, 1)
    assert client.read().era == UNKNOWN_ERA
    assert client.watch(standin.revision, 0.01).era == UNKNOWN_ERA


def test_restored_store_is_read_in_full_although_its_revisions_went_back(standin, client):
    fill(standin, 5)
    before = client.read()
    standin.restore(3)
    with pytest.raises(EraChangedError):
        client.watch(before.revision, 0.01)
    batch = client.read()
    assert (batch.era, batch.revision) == (2, standin.revision)
    assert batch.revision < before.revision
    assert sorted(client.mirror._items) == sorted(standin.items)


def test_revisions_that_are_given_out_again_are_not_skipped(standin, client):
    # The history after the restore reaches the old revision, so there is no 410.
    fill(standin, 3)
    before = client.read()
    standin.restore(2)
    for number in range(4):
        standin.put(f"op/evacuate/z-{number}", {})
    assert standin.revision > before.revision
    with pytest.raises(EraChangedError):
        client.watch(before.revision, 0.01)
    excluded = {u.domain for u in client.read().updates if isinstance(u, DomainUpdate)}
    assert excluded == {"z-0", "z-1", "z-2", "z-3"}


def test_data_of_an_earlier_era_is_rejected(standin, client):
    standin.restore(0)
    fill(standin, 1)
    revision = client.read().revision
    standin.era = 1
    standin.put("op/evacuate/north", {})
    with pytest.raises(EarlierEraError):
        client.watch(revision, 0.01)
    with pytest.raises(EarlierEraError):
        client.read()
    assert "op/evacuate/north" not in client.mirror._items


def test_restore_between_two_pages_does_not_mix_the_eras(standin, client):
    fill(standin, 5)
    client.read()
    pages = []

    def restore_after_first_page(*args, get=client._get):
        answer = get(*args)
        if not pages:
            standin.restore(4)
        pages.append(args)
        return answer

    client._get = restore_after_first_page
    batch = client.read()
    assert (batch.era, batch.revision) == (2, standin.revision)
    assert sorted(client.mirror._items) == sorted(standin.items)


def test_restore_in_every_read_fails_and_keeps_the_last_snapshot(standin, client):
    fill(standin, 5)
    client.read()
    known = dict(client.mirror._items)

    def restore_after_each_page(*args, get=client._get):
        answer = get(*args)
        standin.restore(0)
        return answer

    client._get = restore_after_each_page
    with pytest.raises(StoreError):
        client.read()
    assert (client.mirror.era, client.mirror._items) == (1, known)
