from __future__ import annotations

from collections import Counter

import gevent
import pytest

from marigoldwalk.core.actions import Exit, Note
from marigoldwalk.core.events import PeerDisconnected, StopRequested
from marigoldwalk.daemon.core_loop import CoreLoop
from marigoldwalk.util.clock import Clock

from .scripted import TEST_TIMEOUT_S


class FakeCore:
    """A core that records the events of each step and answers a stop request with an exit."""

    def __init__(self, wakeup=None, fails=False):
        self.steps = []
        self._wakeup = wakeup
        self._fails = fails

    def step(self, now, events):
        if self._fails:
            raise RuntimeError("a fault")
        self.steps.append(list(events))
        return [Exit()] if StopRequested() in events else [Note("core", "stepped")]

    def next_wakeup(self):
        return self._wakeup


def run_loop(core, *events, execute=None):
    counters = Counter()
    executed = []

    def record(action):
        executed.append(action)
        if isinstance(action, Exit):
            loop.stop()

    loop = CoreLoop(core, Clock(), execute or record, counters)
    for event in events:
        loop.post(event)
    with gevent.Timeout(TEST_TIMEOUT_S):
        loop.run()
    return loop, executed, counters


def test_queued_events_are_processed_in_one_step():
    core = FakeCore()
    loop, executed, counters = run_loop(core, PeerDisconnected("m-2"), StopRequested())
    assert core.steps == [[PeerDisconnected("m-2"), StopRequested()]]
    assert executed == [Exit()]
    assert counters == {"core.step": 1, "core.event": 2}
    assert not loop.failed


def test_a_due_timer_wakes_the_loop_without_blocking_other_greenlets():
    core = FakeCore(wakeup=0.0)
    loop = CoreLoop(core, Clock(), lambda action: None, Counter())
    greenlet = gevent.spawn(loop.run)
    while len(core.steps) < 3:
        gevent.sleep(0)
    loop.stop()
    greenlet.join(TEST_TIMEOUT_S)
    assert greenlet.successful()


def test_an_exception_in_a_step_ends_the_loop_as_failed():
    loop, executed, counters = run_loop(FakeCore(fails=True))
    assert loop.failed
    assert executed == []
    assert counters["core.failure"] == 1


def test_an_exception_in_an_action_is_counted_and_the_loop_continues():
    core = FakeCore()
    counters = Counter()

    def execute(action):
        if isinstance(action, Exit):
            loop.stop()
        raise OSError("a fault")

    loop = CoreLoop(core, Clock(), execute, counters)
    greenlet = gevent.spawn(loop.run)
    gevent.sleep(0)
    loop.post(StopRequested())
    greenlet.join(TEST_TIMEOUT_S)
    assert greenlet.successful()
    assert not loop.failed
    assert counters["core.action_failure"] == 2


@pytest.mark.parametrize("count", [1, 100])
def test_events_posted_to_a_sleeping_loop_wake_it(count):
    core = FakeCore()
    loop = CoreLoop(core, Clock(), lambda action: None, Counter())
    greenlet = gevent.spawn(loop.run)
    gevent.sleep(0)
    for number in range(count):
        loop.post(PeerDisconnected(f"m-{number}"))
    while len(core.steps) < 2:
        gevent.sleep(0)
    assert len(core.steps[1]) == count
    greenlet.kill()
