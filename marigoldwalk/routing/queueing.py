"""The queue of tasks that wait for a server of their service.

Load pattern: overload, caused by a burst or by the loss of a failure domain. Tasks leave the queue
by priority, and within a priority by the earliest target time. Finished tasks are discarded.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from .exchanges import TaskState

if TYPE_CHECKING:
    from .exchanges import Task


class TaskQueue:
    """A priority queue of waiting tasks."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, float, int, Task]] = []
        self._queued: set[Task] = set()
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._queued)

    def push(self, task: Task) -> None:
        """Add *task* unless it is already queued."""
        if task in self._queued:
            return
        exchange = task.exchange
        entry = (exchange.priority, exchange.target_at, next(self._numbers), task)
        heapq.heappush(self._heap, entry)
        self._queued.add(task)

    def pop(self) -> Task | None:
        """Remove and return the next task that is still waiting."""
        while self._heap:
            task = heapq.heappop(self._heap)[-1]
            self._queued.discard(task)
            if task.state is TaskState.WAITING and not task.exchange.is_answered:
                return task
        return None
