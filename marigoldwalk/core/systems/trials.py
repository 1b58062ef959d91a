"""Trials: unknown content runs on one server before it is sent to many.

All daemons try the same content at the same home, which lets one trial of a content run at a time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..engine import on
from ..timers import TrialEnded
from . import jobs, suspects

if TYPE_CHECKING:
    from ..tables import JobRow
    from ..world import World


def must_wait(world: World, job: JobRow) -> bool:
    """Return whether a job waits for another trial of its content; begin its own otherwise."""
    if not job.request.canary:
        return False
    waiting = world.trials.get(job.request.fingerprint)
    if waiting is None:
        world.trials[job.request.fingerprint] = [job.job]
        return False
    waiting.append(job.job)
    return True


def must_move(world: World, job: JobRow, replicas: str) -> bool:
    """Return whether a trial must not run here, since its content killed one of these replicas.

    So the shard keeps a replica for others, and the next trial runs on another shard.
    """
    return job.request.canary and suspects.has_crashed_server(
        world, job.request.fingerprint, replicas
    )


def end(world: World, job: JobRow) -> None:
    """Let the next job with this content go on when its trial is over."""
    waiting = world.trials.get(job.request.fingerprint)
    if not job.request.canary or waiting is None or job.job not in waiting:
        return
    running = waiting[0] == job.job
    waiting.remove(job.job)
    if running:
        world.inbox.append(TrialEnded(job.request.fingerprint))


@on(TrialEnded)
def start_next(world: World, event: TrialEnded) -> None:
    """Start what waited for a trial: all of it when the content is harmless, else the next."""
    waiting = world.trials.get(event.fingerprint)
    if not waiting:
        world.trials.pop(event.fingerprint, None)
        return
    if suspects.is_proven(world, event.fingerprint):
        del world.trials[event.fingerprint]
        started = waiting
    else:
        started = waiting[:1]
    for key in started:
        jobs.start(world, world.jobs[key])
