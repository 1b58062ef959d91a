from __future__ import annotations

import time

import gevent
import pytest

from standins.behaviour import Behaviour, Control, ServerSpec
from standins.data import Dataset
from standins.server import BackendServer
from standins.subrequests import ActiveSubrequest, Subrequest

DATA = Dataset(seed=1)
LONG_MS = 3_600_000.0
SPEC = ServerSpec(
    name="kiosks-03-a",
    index="kiosks",
    service="kiosks-03",
    service_ordinal=3,
    service_count=50,
    slots=2,
    connections=25,
)


class Harness:
    """A server whose subrequests run in greenlets."""

    def __init__(self, **behaviour) -> None:
        fields = {"snapshots": {1: 50}, "service_ms": 0.0, "service_sigma": 0.0} | behaviour
        self.listener_stops = []
        self.server = BackendServer(
            SPEC, DATA, Behaviour(**fields), stop_listening=lambda: self.listener_stops.append(1)
        )
        self.greenlets = []

    def start(self, attempt: str = "a", **fields) -> gevent.Greenlet:
        message = {
            "attempt": attempt,
            "group": "kiosk-finder",
            "index": "kiosks",
            "snapshot": 1,
            "shards": (3,),
            "limit": 5,
            "body": {"op": "stock"},
            "deadline_ms": LONG_MS,
        }
        req = Subrequest(**(message | fields))
        active = ActiveSubrequest(attempt, time.time() + req.deadline_ms / 1000)
        greenlet = gevent.spawn(self.server.search, req, active)
        self.greenlets.append(greenlet)
        gevent.sleep(0)
        return greenlet

    def reply_state(self, **fields) -> str:
        return self.start(**fields).get()["state"]


@pytest.fixture
def make_harness():
    harnesses = []

    def make(**behaviour):
        harnesses.append(Harness(**behaviour))
        return harnesses[-1]

    yield make
    for each in harnesses:
        gevent.killall(each.greenlets)


@pytest.mark.parametrize(
    ("fields", "state"),
    [
        ({}, "done"),
        ({"snapshot": 2}, "snapshot gone"),
        ({"shards": (3, 4)}, "snapshot gone"),
        ({"index": "precedents"}, "snapshot gone"),
        ({"deadline_ms": 0}, "expired"),
        ({"body": {"op": "no such"}}, "failed"),
    ],
)
def test_reply_state_for_each_request(make_harness, fields, state):
    harness = make_harness()
    assert harness.reply_state(request_id="r", **fields) == state
    assert harness.server.journal.executions["r"] == (1 if state in ("done", "failed") else 0)


def test_draining_server_refuses_new_subrequests_and_keeps_running_ones(make_harness):
    harness = make_harness(service_ms=LONG_MS)
    running = harness.start()
    harness.server.control(Control(draining=True))
    assert harness.reply_state(attempt="b") == "draining"
    assert not running.ready()


def test_held_shards_follow_from_the_service_ordinal(make_harness):
    harness = make_harness(snapshots={1: 50, 2: 120, 3: 2})
    holdings = harness.server.health()["holdings"]
    assert [holding["shards"] for holding in holdings] == [[3], [3, 53, 103], []]


def test_slots_and_queue_limit_concurrent_subrequests(make_harness):
    harness = make_harness(service_ms=LONG_MS, cold_runs_count=0, queue_count=1)
    running = [harness.start("a"), harness.start("b")]
    waiting = harness.start("c")
    assert harness.reply_state(attempt="d") == "shed"
    assert harness.server.journal.runs == 2
    assert harness.server.cancel("a")
    assert running[0].get()["state"] == "failed"
    gevent.sleep(0)
    assert harness.server.journal.runs == 3
    assert harness.server.journal.running_peak == SPEC.slots
    assert not waiting.ready()
    assert not harness.server.cancel("a")


def test_subrequest_cancelled_while_waiting_never_runs(make_harness):
    harness = make_harness(service_ms=LONG_MS, cold_runs_count=0)
    harness.start("a")
    harness.start("b")
    waiting = harness.start("c", request_id="r")
    assert harness.server.cancel("c")
    assert waiting.get()["state"] == "expired"
    assert harness.server.journal.executions["r"] == 0


def test_cold_server_crashes_under_two_concurrent_subrequests(make_harness):
    harness = make_harness(service_ms=LONG_MS)
    before = harness.server.incarnation.name
    harness.start("a")
    harness.start("b")
    gevent.sleep(0)
    assert not harness.server.up
    assert harness.listener_stops
    assert harness.server.incarnation.name != before
    assert harness.server.journal.cold_overloads == 1
    assert [crash.cause for crash in harness.server.journal.deaths] == ["load while cold"]


def test_server_is_warm_after_enough_runs(make_harness):
    harness = make_harness(cold_runs_count=2)
    assert harness.server.health()["cold"]
    assert [harness.reply_state(), harness.reply_state()] == ["done", "done"]
    assert not harness.server.health()["cold"]
    assert harness.server.journal.cold_overloads == 0


def test_body_with_crash_marker_crashes_the_server(make_harness):
    harness = make_harness(crash_marker="boom")
    harness.start(body={"op": "stock", "models": ["boom"]}, request_id="r")
    assert [crash.cause for crash in harness.server.journal.deaths] == ["request"]
    assert harness.server.journal.executions["r"] == 1


def test_health_reply_can_lag_and_be_overridden(make_harness):
    harness = make_harness(health_lag_s=LONG_MS, health_lie={"load": 0.25})
    assert harness.server.health()["load"] == 0.25
    harness.server.control(Control(draining=True))
    assert not harness.server.health()["draining"]
    harness.server.control(Control(health_lag_s=0.0, health_lie={}))
    assert harness.server.health()["draining"]


def test_control_changes_only_the_fields_that_it_names():
    behaviour = Behaviour(snapshots={1: 50}, slow_factor=3.0)
    changed = Control(draining=True).applied_to(behaviour)
    assert changed == behaviour.model_copy(update={"draining": True})


def test_journal_counts_arrivals_after_a_time(make_harness):
    harness = make_harness()
    harness.reply_state(attempt="a")
    harness.reply_state(attempt="a")
    journal = harness.server.journal
    assert journal.received_after(0.0) == 2
    assert journal.received_after(journal.received_at[-1]) == 0
    assert journal.summary()["repeated_attempts"] == 1
