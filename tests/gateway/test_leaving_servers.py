"""Servers say that they are leaving, and each daemon must send them nothing more within 3 s."""

from __future__ import annotations

import random

import gevent
import pytest
from gevent.server import StreamServer
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from marigoldwalk.config.view import Address
from marigoldwalk.gateway import store_watcher as watcher_module
from marigoldwalk.gateway.store_interface import (
    ServerRemoved,
    ServerUpdate,
    StoreError,
    StoreRefusedError,
    UpdateBatch,
)
from marigoldwalk.gateway.store_watcher import MAX_COALESCE_S
from marigoldwalk.platform import store as store_module
from marigoldwalk.platform.mirror import Mirror
from marigoldwalk.platform.store import MIRROR_TIMEOUT_S, StoreClient
from marigoldwalk.routing.era_change import SETTLE_S
from marigoldwalk.routing.membership import MemberReport, Membership
from marigoldwalk.routing.readers import Readers

from ..routing.simulation import registration
from .scripted_store import HISTORY_LOST, Clock, make_watcher, servers

DRAIN_S = 3.0
"""Time after which no request may reach a server that has said that it is leaving."""
LEAVES_AT = 102.0
"""Time at which server "a" says that it is leaving, of a clock that starts at 100."""
NEWS = UpdateBatch((ServerUpdate(registration("a", draining=True, sequence=2)),), 6)


def usable(catalog):
    return [row.server_id for row in catalog.usable_servers("s-1")]


class DaemonMirror:
    """The mirror of a daemon that may lose power, or be no reader, from ``LEAVES_AT`` on.

    Each call of one that is lost takes its whole time limit.
    """

    def __init__(self, clock, is_lost, is_reader):
        self._clock = clock
        self._is_lost = is_lost
        self._is_reader = is_reader

    def watch(self, after, wait_s, timeout_s=MIRROR_TIMEOUT_S):
        if self._clock.now < LEAVES_AT:
            self._clock.now = min(self._clock.now + wait_s, LEAVES_AT)
            return UpdateBatch((), 5)
        if self._is_lost:
            self._clock.now += wait_s + timeout_s
            raise StoreError("timed out")
        if not self._is_reader:
            raise StoreRefusedError("status 503")
        return NEWS


class LiveStore:
    """A store in which server "a" begins to drain at ``LEAVES_AT``; daemons may be lost then."""

    def __init__(self, clock, lost=None, readers=frozenset()):
        self._clock = clock
        self._lost = lost
        self._readers = readers

    def read(self):
        return UpdateBatch(servers("a", "b"), 5)

    def watch(self, after, wait_s):
        return NEWS

    def mirror_at(self, address):
        is_lost = self._lost is None or address in self._lost
        return DaemonMirror(self._clock, is_lost, address in self._readers)


class Fleet:
    """So many daemons, of which one follows a reader."""

    def __init__(self, clock, member_count, domain_count, rng):
        reports = [
            MemberReport(f"m-{n}", Address("10.0.0.1", 7000 + n), 1, 5, f"d-{n % domain_count}")
            for n in range(member_count)
        ]
        chosen = Readers._select_readers(reports)
        followers = [report for report in reports if report not in chosen]
        self.has_followers = bool(followers)
        if not followers:
            return
        own = rng.choice(followers)
        membership = Membership(own, (), clock.now)
        membership.merge([report for report in reports if report is not own], clock.now)
        self.follower = Readers(membership)
        self.readers = {report.address for report in chosen}
        self.others = [report.address for report in reports if report is not own]


def seconds_until_known(clock, monkeypatch, readers, store):
    """Return how long after its acknowledgement a follower learns that server "a" is leaving."""
    watcher, catalog = make_watcher(clock, readers=readers)
    watcher._store = store

    def sleep(duration_s):
        clock.now += duration_s

    monkeypatch.setattr(watcher_module.gevent, "sleep", sleep)
    while clock.now < LEAVES_AT:
        watcher.poll()
    assert watcher._source is not None
    clock.now += MAX_COALESCE_S  # the pause after an earlier change
    while "a" in usable(catalog):
        try:
            watcher.poll()
        except StoreError as exc:
            watcher.record_failure(exc)
    return clock.now - LEAVES_AT


@pytest.mark.parametrize(("members", "domains"), [(6, 3), (9, 3), (66, 4), (195, 5), (300, 3)])
def test_follower_stops_sending_in_time_although_all_readers_are_lost(
    clock, monkeypatch, members, domains
):
    """Followers waited for each lost reader in turn, and then for their turn at the store."""
    fleet = Fleet(clock, members, domains, random.Random(1))
    assert seconds_until_known(clock, monkeypatch, fleet.follower, LiveStore(clock)) < DRAIN_S


@given(
    members=st.integers(4, 300),
    domains=st.integers(1, 6),
    lost_share=st.floats(0, 1),
    rng=st.randoms(use_true_random=False),
)
@settings(max_examples=60)
def test_follower_stops_sending_in_time_whichever_daemons_are_lost(
    members, domains, lost_share, rng
):
    clock = Clock()
    fleet = Fleet(clock, members, domains, rng)
    assume(fleet.has_followers)
    lost = rng.sample(fleet.others, int(lost_share * len(fleet.others)))
    store = LiveStore(clock, set(lost), fleet.readers)
    with pytest.MonkeyPatch.context() as monkeypatch:
        assert seconds_until_known(clock, monkeypatch, fleet.follower, store) < DRAIN_S


def follow(clock, *updates):
    """Return the catalog of a daemon that has read server "a" and then each of *updates*."""
    batches = [UpdateBatch((update,), 6 + n) for n, update in enumerate(updates)]
    watcher, catalog = make_watcher(clock, UpdateBatch(servers("a"), 5), *batches)
    for _ in range(len(updates) + 1):
        watcher.poll()
    return catalog


def test_server_that_starts_again_while_its_clock_is_behind_leaves(clock):
    """All that such a server said was ignored, as its earlier start had a later time."""
    address = Address("10.0.0.2", 8000)
    again = registration("a", started_at_ms=400, address=address)
    leaving = registration("a", started_at_ms=400, address=address, sequence=2, draining=True)
    assert usable(follow(clock, ServerUpdate(again))) == ["a"]
    assert follow(clock, ServerUpdate(again)).rows["a"].address == address
    assert usable(follow(clock, ServerUpdate(again), ServerUpdate(leaving))) == []


def test_larger_counts_of_another_writer_do_not_hide_that_a_server_leaves(clock):
    other = ServerUpdate(registration("a", started_at_ms=2**53, sequence=2**53))
    leaving = ServerUpdate(registration("a", sequence=9, draining=True))
    assert usable(follow(clock, other, leaving)) == []


def test_late_write_of_a_draining_server_does_not_bring_it_back(clock):
    leaving = ServerUpdate(registration("a", sequence=8, draining=True))
    late = ServerUpdate(registration("a", sequence=7))
    assert usable(follow(clock, leaving, late)) == []


writes = st.one_of(
    st.builds(
        lambda start, sequence, draining: ServerUpdate(
            registration("a", started_at_ms=start, sequence=sequence, draining=draining)
        ),
        st.integers(1, 3),
        st.integers(1, 4),
        st.booleans(),
    ),
    st.just(ServerRemoved("a")),
)


@given(st.lists(writes, min_size=1, max_size=8), st.floats(0.0, 2.0))
def test_last_entry_in_the_store_decides_whatever_counts_the_writes_state(updates, gap_s):
    clock = Clock()
    batches = [UpdateBatch((update,), 6 + n) for n, update in enumerate(updates)]
    settled = UpdateBatch((), 6 + len(updates))
    watcher, catalog = make_watcher(clock, UpdateBatch(servers("a"), 5), *batches, settled)
    for _ in range(len(updates) + 1):
        watcher.poll()
        clock.now += gap_s
    last = updates[-1]
    is_ready = isinstance(last, ServerUpdate) and not last.registration.draining
    if not is_ready:
        assert usable(catalog) == []
    clock.now += SETTLE_S
    watcher.poll()
    assert usable(catalog) == (["a"] if is_ready else [])


def test_entry_that_stays_in_the_store_ends_that_a_server_leaves(clock):
    leaving = ServerUpdate(registration("a", sequence=8, draining=True))
    ready = ServerUpdate(registration("a", started_at_ms=400))
    nothing = [UpdateBatch((), 7) for _ in range(2)]
    watcher, catalog = make_watcher(
        clock, UpdateBatch((leaving,), 5), UpdateBatch((ready,), 7), *nothing
    )
    for _ in range(2):
        watcher.poll()
    clock.now += SETTLE_S - 0.1
    watcher.poll()
    assert usable(catalog) == []
    clock.now += 0.1
    watcher.poll()
    assert usable(catalog) == ["a"]


def test_held_entry_of_a_server_that_a_full_read_does_not_contain_is_dropped(clock):
    """It was applied once its time had come, although the store had removed the server."""
    late = ServerUpdate(registration("a"))
    watcher, catalog = make_watcher(
        clock,
        UpdateBatch(servers("a", "b"), 5),
        UpdateBatch((ServerRemoved("a"), late), 7),
        HISTORY_LOST,
        UpdateBatch(servers("b"), 9),
        UpdateBatch((), 9),
    )
    for _ in range(3):
        watcher.poll()
    clock.now += SETTLE_S
    watcher.poll()
    assert usable(catalog) == ["b"]


@pytest.mark.parametrize("why", ["status 429", "status 503", "the watch was cut"])
def test_one_failed_call_does_not_put_off_the_removal_of_a_server(clock, why):
    """The removal was carried out by the first watch that ended 2.2 s later."""
    nothing = [UpdateBatch((), 6) for _ in range(2)]
    watcher, catalog = make_watcher(
        clock, UpdateBatch(servers("a"), 5), UpdateBatch((ServerRemoved("a"),), 6), *nothing
    )
    watcher.poll()
    removed_at = clock.now
    clock.now += 0.9
    watcher.record_failure(StoreError(why))
    watcher.poll()
    for _ in nothing:
        clock.now += 1.0
        watcher.poll()
    assert clock.now - removed_at < DRAIN_S
    assert catalog.rows == {}


def test_answer_that_arrives_in_small_pieces_ends_at_its_time_limit(monkeypatch):
    """Each piece began the time limit anew, and the daemon learned nothing meanwhile."""
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 0.1)
    monkeypatch.setattr(store_module, "MIRROR_TIMEOUT_S", 0.1)
    sent = []

    def trickle(sock, _peer):
        sock.recv(4096)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n")
        for _ in range(40):
            sock.sendall(b" ")
            sent.append(1)
            gevent.sleep(0.03)

    server = StreamServer(("127.0.0.1", 0), trickle)
    server.start()
    address = Address("127.0.0.1", server.server_port)
    store = StoreClient(address, Mirror(lambda: True))
    try:
        for client in (store, store.mirror_at(address)):
            sent.clear()
            with pytest.raises(StoreError):
                client.watch(5, 0.0)
            client.close()
            assert len(sent) < 40
    finally:
        server.stop(timeout=0)
