"""Suspects: request content that may crash the servers that run it.

Content is refused once it has crashed several servers. Servers of different replica sets that are
lost together may just as well have had a power failure, so losses in several replica sets count
only against content that is not known to have run without harm anywhere.

If content on trial was running on a lost server, other content that ran there is not blamed.

Daemons share their evidence: each stores, for every content and replica set, how many servers each
daemon has lost to it, and when it last ran there without harm. Both values only grow, so notices
may arrive late, duplicated or out of order.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...errors import Code, Refusal
from ..engine import on, on_message
from ..peer_messages import SuspectNotice
from ..tables import SuspectRow
from ..timers import PeerChanged, PruneDue
from .membership import is_reachable

if TYPE_CHECKING:
    from ..events import PeerReceived
    from ..tables import AttemptRow, ServerRow
    from ..world import World

TRIALS = "trials"
"""Key, beside the names of replica sets, that collects the servers lost in a content's trials."""


def check_content(world: World, fingerprint: str) -> Refusal | None:
    """Return a refusal if the content has recently crashed several servers."""
    row = world.suspects.get(fingerprint)
    if row is None or world.now >= row.until or not _is_dangerous(world, row):
        return None
    reason = "servers were lost while they ran this request"
    return Refusal(Code.SUSPECT_CONTENT, reason, row.until - world.now)


def is_proven(world: World, fingerprint: str) -> bool:
    """Return whether content ran without harm recently and has crashed no server since."""
    row = world.suspects.get(fingerprint)
    return row is not None and world.now < row.proven_until and not row.crashes


def has_crashed_server(world: World, fingerprint: str, replicas: str) -> bool:
    """Return whether a server of *replicas* was lost while it ran the content."""
    row = world.suspects.get(fingerprint)
    return row is not None and replicas in row.crashes


def trial_crash_count(world: World, fingerprint: str) -> int:
    """Return the number of servers that are known to have crashed in trials of the content."""
    row = world.suspects.get(fingerprint)
    return sum(row.crashes.get(TRIALS, {}).values()) if row is not None else 0


def suspected_attempts(world: World, server: ServerRow) -> tuple[AttemptRow, ...]:
    """Return the attempts whose content may have crashed a lost server.

    If content on trial was running there, the other content was known to be harmless and is left
    out. Cancelled attempts count until the server has confirmed their end.
    """
    running = [world.attempts[key] for key in server.running if key in world.attempts]
    attempts = [*server.suspects.values(), *(row for row in running if row.abandoned)]
    on_trial = [attempt for attempt in attempts if attempt.trial]
    return tuple(on_trial or attempts)


def record_crashes(world: World, attempts: tuple[AttemptRow, ...], replicas: str) -> None:
    """Record that a server of *replicas* was lost while it ran these attempts."""
    tried = {attempt.fingerprint: attempt.trial for attempt in attempts}
    for fingerprint, trial in tried.items():
        world.count("suspect.death")
        world.note("content", "killed a server", fingerprint)
        _record_crash(world, fingerprint, replicas)
        if trial:
            _record_crash(world, fingerprint, TRIALS)


def _record_crash(world: World, fingerprint: str, scope: str) -> None:
    row = _touch_row(world, fingerprint)
    reporter = _reporter(world)
    reports = row.crashes.setdefault(scope, {})
    reports[reporter] = reports.get(reporter, 0) + 1
    row.until = world.now + world.parameters.suspect_s
    if scope == TRIALS or world.now >= row.proven_until or _is_dangerous(world, row):
        row.reported.add(scope)
        world.broadcast(_notice(row, scope, reporter))


def _reporter(world: World) -> str:
    # A restarted daemon counts from 0 again, so each incarnation is a reporter of its own.
    return f"{world.identity.name}/{world.identity.started_at:.6f}"


def _notice(row: SuspectRow, scope: str, reporter: str) -> SuspectNotice:
    crashes = row.crashes[scope][reporter]
    return SuspectNotice(row.fingerprint, scope, crashes, False, row.until, reporter)


@on(PeerChanged)
def send_evidence(world: World, event: PeerChanged) -> None:
    """Send all evidence to a daemon that has become reachable."""
    if not is_reachable(world, event.peer):
        return
    for row in world.suspects.values():
        for scope in sorted(row.reported & row.crashes.keys()):
            for reporter in row.crashes[scope]:
                world.send_message(event.peer, _notice(row, scope, reporter))


def record_harmless(world: World, fingerprint: str, replicas: str) -> None:
    """Record that the content ran without harm on a server of *replicas*."""
    row = _touch_row(world, fingerprint)
    row.proven_until = world.now + world.parameters.proven_s
    if not row.crashes:
        return
    row.reported.add(TRIALS)
    for scope in (replicas, TRIALS):
        if scope in row.crashes:
            _clear(row, scope, world.now)
            world.count("suspect.cleared")
            world.note("content", "cleared", fingerprint)
        _broadcast_cleared(world, row, scope)


def _broadcast_cleared(world: World, row: SuspectRow, scope: str) -> None:
    if scope in row.reported and row.cleared_reported_at.get(scope, 0.0) <= _last_crash_at(
        world, row
    ):
        row.cleared_reported_at[scope] = world.now
        reporter = _reporter(world)
        world.broadcast(SuspectNotice(row.fingerprint, scope, 0, True, world.now, reporter))


@on_message(SuspectNotice)
def receive_notice(world: World, event: PeerReceived) -> None:
    """Merge evidence from another daemon."""
    notice: SuspectNotice = event.message
    row = _touch_row(world, notice.fingerprint)
    if notice.cleared:
        if _last_crash_at(world, row) <= notice.until:
            _clear(row, notice.service, notice.until)
        row.proven_until = max(row.proven_until, notice.until + world.parameters.proven_s)
        return
    crashed_at = notice.until - world.parameters.suspect_s
    if crashed_at <= row.cleared_at.get(notice.service, 0.0):
        world.count("suspect.outdated_notice")
        return
    reports = row.crashes.setdefault(notice.service, {})
    row.reported.add(notice.service)
    reports[notice.reporter] = max(reports.get(notice.reporter, 0), notice.deaths)
    row.until = max(row.until, notice.until)


def _last_crash_at(world: World, row: SuspectRow) -> float:
    return row.until - world.parameters.suspect_s


def _clear(row: SuspectRow, replicas: str, at: float) -> None:
    row.crashes.pop(replicas, None)
    row.cleared_at[replicas] = max(row.cleared_at.get(replicas, 0.0), at)


def _is_dangerous(world: World, row: SuspectRow) -> bool:
    limit = world.parameters.suspect_deaths_count
    counts = {scope: sum(reports.values()) for scope, reports in row.crashes.items()}
    if max(counts.values(), default=0) >= limit:
        return True
    proven = world.now < row.proven_until
    return not proven and sum(counts.values()) - counts.get(TRIALS, 0) >= limit


def _touch_row(world: World, fingerprint: str) -> SuspectRow:
    row = world.suspects.pop(fingerprint, None)
    if row is None:
        row = SuspectRow(fingerprint)
        _evict_if_full(world)
    # The table is kept in order of use, so that the least recently used entry comes first.
    world.suspects[fingerprint] = row
    return row


def _evict_if_full(world: World) -> None:
    if len(world.suspects) < world.parameters.memory_count:
        return
    harmless = (key for key, row in world.suspects.items() if not row.crashes)
    oldest = next(harmless, None) or next(iter(world.suspects))
    del world.suspects[oldest]


@on(PruneDue)
def prune_suspects(world: World, event: PruneDue) -> None:
    """Delete expired evidence."""
    for key, row in list(world.suspects.items()):
        if world.now >= row.until and row.crashes:
            row.crashes.clear()
        if world.now >= max(row.until, row.proven_until):
            del world.suspects[key]
