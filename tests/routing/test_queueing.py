from __future__ import annotations

from marigoldwalk.routing.exchanges import CallerRequest, Exchange, Task, TaskState
from marigoldwalk.routing.queueing import TaskQueue

from .simulation import HOST, single_route


def task(priority, target_at):
    request = CallerRequest("q", "GET", HOST, "/one/1", 0.0, 9.0)
    return Task(Exchange(request, single_route(priority=priority), 1, target_at, 9.0), "s-1")


def test_tasks_leave_by_priority_and_then_by_target_time():
    queue = TaskQueue()
    late, early, urgent = task(2, 5.0), task(2, 1.0), task(1, 7.0)
    for waiting in (late, early, urgent, early):
        queue.push(waiting)
    assert [queue.pop() for _ in range(4)] == [urgent, early, late, None]


def test_finished_tasks_are_skipped():
    queue = TaskQueue()
    over, answered, waiting = task(1, 1.0), task(1, 2.0), task(1, 3.0)
    for each in (over, answered, waiting):
        queue.push(each)
    over.state = TaskState.FAILED
    answered.exchange.is_answered = True
    assert queue.pop() is waiting
    assert queue.pop() is None
