"""Content that may crash the servers which run it.

Content is refused once it has killed several servers. Servers of different replica sets that die
together may as well have lost their power, so such deaths count only against content that is not
known to have run anywhere without harm.

Where content on trial ran, the rest that ran there is not blamed.

Daemons share what they see: each keeps, for every content and replica set, how many servers each
daemon has lost to it, and when it last ran there without harm. Both only grow, so notices may
arrive late, doubled or out of order.
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
"""Stands, among the replica sets of a content's deaths, for all on which it was tried."""


def check_content(world: World, fingerprint: str) -> Refusal | None:
    """Refuse content that has killed several servers, for a time."""
    row = world.suspects.get(fingerprint)
    if row is None or world.now >= row.until or not _is_dangerous(world, row):
        return None
    reason = "servers were lost while they ran this request"
    return Refusal(Code.SUSPECT_CONTENT, reason, row.until - world.now)


def is_proven(world: World, fingerprint: str) -> bool:
    """Return whether content ran without harm a short time ago and has killed nothing since."""
    row = world.suspects.get(fingerprint)
    return row is not None and world.now < row.proven_until and not row.deaths


def has_crashed_server(world: World, fingerprint: str, replicas: str) -> bool:
    """Return whether a server of *replicas* was lost to the content."""
    row = world.suspects.get(fingerprint)
    return row is not None and replicas in row.deaths


def suspected_attempts(world: World, server: ServerRow) -> tuple[AttemptRow, ...]:
    """Return the attempts whose content may have taken a lost server down.

    Where content on trial ran, the rest was known to be harmless and is not blamed. Cancelled
    work counts until the server has confirmed its end.
    """
    running = [world.attempts[key] for key in server.running if key in world.attempts]
    attempts = [*server.suspects.values(), *(row for row in running if row.abandoned)]
    on_trial = [attempt for attempt in attempts if attempt.trial]
    return tuple(on_trial or attempts)


def record_deaths(world: World, attempts: tuple[AttemptRow, ...], replicas: str) -> None:
    """Note that a server of *replicas* was lost while it ran these attempts."""
    tried = {attempt.fingerprint: attempt.trial for attempt in attempts}
    for fingerprint, trial in tried.items():
        world.count("suspect.death")
        world.note("content", "killed a server", fingerprint)
        _record_death(world, fingerprint, replicas)
        if trial:
            _record_death(world, fingerprint, TRIALS)


def _record_death(world: World, fingerprint: str, place: str) -> None:
    row = _row(world, fingerprint)
    reporter = _reporter(world)
    reports = row.deaths.setdefault(place, {})
    reports[reporter] = reports.get(reporter, 0) + 1
    row.until = world.now + world.parameters.suspect_s
    if place == TRIALS or world.now >= row.proven_until or _is_dangerous(world, row):
        row.told.add(place)
        world.tell_all(_notice(row, place, reporter))


def _reporter(world: World) -> str:
    # A daemon that starts again counts from 0, so each incarnation reports for itself.
    return f"{world.identity.name}/{world.identity.started_at:.6f}"


def _notice(row: SuspectRow, place: str, reporter: str) -> SuspectNotice:
    deaths = row.deaths[place][reporter]
    return SuspectNotice(row.fingerprint, place, deaths, False, row.until, reporter)


@on(PeerChanged)
def pass_on(world: World, event: PeerChanged) -> None:
    """Tell all evidence to a daemon that has come or come back."""
    if not is_reachable(world, event.peer):
        return
    for row in world.suspects.values():
        for place in sorted(row.told & row.deaths.keys()):
            for reporter in row.deaths[place]:
                world.tell(event.peer, _notice(row, place, reporter))


def record_harmless(world: World, fingerprint: str, replicas: str) -> None:
    """Note that the content ran without harm at a server of *replicas*."""
    row = _row(world, fingerprint)
    row.proven_until = world.now + world.parameters.proven_s
    if not row.deaths:
        return
    row.told.add(TRIALS)
    for place in (replicas, TRIALS):
        if place in row.deaths:
            _clear(row, place, world.now)
            world.count("suspect.cleared")
            world.note("content", "cleared", fingerprint)
        _tell_cleared(world, row, place)


def _tell_cleared(world: World, row: SuspectRow, place: str) -> None:
    if place in row.told and row.cleared_told_at.get(place, 0.0) <= _last_death_at(world, row):
        row.cleared_told_at[place] = world.now
        reporter = _reporter(world)
        world.tell_all(SuspectNotice(row.fingerprint, place, 0, True, world.now, reporter))


@on_message(SuspectNotice)
def hear_notice(world: World, event: PeerReceived) -> None:
    """Take over what another daemon has seen."""
    notice: SuspectNotice = event.message
    row = _row(world, notice.fingerprint)
    if notice.cleared:
        if _last_death_at(world, row) <= notice.until:
            _clear(row, notice.service, notice.until)
        row.proven_until = max(row.proven_until, notice.until + world.parameters.proven_s)
        return
    died_at = notice.until - world.parameters.suspect_s
    if died_at <= row.cleared_at.get(notice.service, 0.0):
        world.count("suspect.outdated_notice")
        return
    reports = row.deaths.setdefault(notice.service, {})
    row.told.add(notice.service)
    reports[notice.reporter] = max(reports.get(notice.reporter, 0), notice.deaths)
    row.until = max(row.until, notice.until)


def _last_death_at(world: World, row: SuspectRow) -> float:
    return row.until - world.parameters.suspect_s


def _clear(row: SuspectRow, replicas: str, at: float) -> None:
    row.deaths.pop(replicas, None)
    row.cleared_at[replicas] = max(row.cleared_at.get(replicas, 0.0), at)


def _is_dangerous(world: World, row: SuspectRow) -> bool:
    limit = world.parameters.suspect_deaths_count
    counts = {place: sum(reports.values()) for place, reports in row.deaths.items()}
    if max(counts.values(), default=0) >= limit:
        return True
    proven = world.now < row.proven_until
    return not proven and sum(counts.values()) - counts.get(TRIALS, 0) >= limit


def _row(world: World, fingerprint: str) -> SuspectRow:
    row = world.suspects.pop(fingerprint, None)
    if row is None:
        row = SuspectRow(fingerprint)
        _make_room(world)
    # The table is kept in the order of use, so that the oldest entry comes first.
    world.suspects[fingerprint] = row
    return row


def _make_room(world: World) -> None:
    if len(world.suspects) < world.parameters.memory_count:
        return
    harmless = (key for key, row in world.suspects.items() if not row.deaths)
    oldest = next(harmless, None) or next(iter(world.suspects))
    del world.suspects[oldest]


@on(PruneDue)
def prune_suspects(world: World, event: PruneDue) -> None:
    """Forget evidence that has run out."""
    for key, row in list(world.suspects.items()):
        if world.now >= row.until and row.deaths:
            row.deaths.clear()
        if world.now >= max(row.until, row.proven_until):
            del world.suspects[key]
