"""Trials at a home: unknown content runs on one server before many.

All daemons send the trials of a content to the same home, which runs them one at a time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..engine import on
from ..timers import TrialEnded
from . import jobs, suspects

if TYPE_CHECKING:
    from ..tables import JobRow
    from ..world import World


def wait_for_trial(world: World, job: JobRow) -> bool:
    """Queue a job behind a trial of its content and return ``True``, or let it start its own."""
    if not job.request.canary:
        return False
    trial_jobs = world.trials.get(job.request.fingerprint)
    if trial_jobs is None:
        world.trials[job.request.fingerprint] = [job.job]
        return False
    trial_jobs.append(job.job)
    return True


def must_avoid(world: World, job: JobRow, replicas: str) -> bool:
    """Return whether a trial must not run on *replicas*, since its content has crashed one of them.

    The shard thus keeps a replica for other content, and the next trial runs on another shard.
    """
    return job.request.canary and suspects.has_crashed_server(
        world, job.request.fingerprint, replicas
    )


def end_trial(world: World, job: JobRow) -> None:
    """Remove a finished job from its content's trials; if it ran one, the next may start."""
    trial_jobs = world.trials.get(job.request.fingerprint)
    if not job.request.canary or trial_jobs is None or job.job not in trial_jobs:
        return
    running = trial_jobs[0] == job.job
    trial_jobs.remove(job.job)
    if running:
        world.inbox.append(TrialEnded(job.request.fingerprint))


@on(TrialEnded)
def start_next(world: World, event: TrialEnded) -> None:
    """Start the jobs that waited for a trial: all if the content is harmless, else the next."""
    trial_jobs = world.trials.get(event.fingerprint)
    if not trial_jobs:
        world.trials.pop(event.fingerprint, None)
        return
    if suspects.is_proven(world, event.fingerprint):
        del world.trials[event.fingerprint]
        started = trial_jobs
    else:
        started = trial_jobs[:1]
    for key in started:
        jobs.start(world, world.jobs[key])
