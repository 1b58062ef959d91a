"""Quotas of workspaces, which hold for all daemons together.

Load pattern: one workspace sends many times its usual number of requests while the others go on as
before, and its callers are spread over the daemons in any way. Each daemon sees so few requests of
a workspace that a share for each would be a fraction of a request. So one daemon, the holder,
counts the requests of a workspace, a different one for each. The others report to it what they
admit, and once the quota is nearly used up, they ask before they admit anything.
"""

from __future__ import annotations

import itertools
from collections.abc import Generator
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

from ..util.hashing import rendezvous_order, stable_hash
from .quota_buckets import MAX_RETRY_S, QuotaAnswer, QuotaAsk, QuotaBuckets

if TYPE_CHECKING:
    from ..config.view import Address
    from .membership import Membership
    from .model import Workspace
    from .world import RoutingWorld

HOLDER_COUNT = 2
"""Number of daemons that are asked one after the other: the holder and its stand-in."""
SETTLE_S = 5.0
"""Time after the start of a daemon's process before it becomes a holder, in which gossip reports it
to the others."""
CUT_OFF_S = 2.5
"""Time without any datagram after which a holder considers itself cut off. Gossip brings two a
second."""
TAKEOVER_S = 3.0
"""Time without an answer of the holder after which the stand-in replaces it; longer than the one
above, so that two daemons do not grant the same rate."""
AVOID_S = 1.0
"""Time for which a daemon that did not answer is not asked again."""
STARTED_TOGETHER_S = 3.0
"""Maximum difference of the starts of daemons that become holders together."""
PROBE_INTERVAL_S = 0.5
"""Minimum interval between a stand-in's checks whether the holder is back."""
SCARCE_S = 3.0
"""Time for which requests are admitted only after asking, counted from the last notice."""
NOTICE_INTERVAL_S = 1.0
"""Minimum interval between the notices to all daemons that a quota is nearly used up."""
MAX_BLOCK_S = 0.05
"""Maximum time for which requests are refused without asking again; the holder does not count these
and tells their callers' time to others too."""
_HASH_RANGE = 2**64


class QuotaDecision(Enum):
    """What to do with a request of a workspace that has a quota."""

    ADMIT = "admit"
    """Admit it and report it to a holder."""
    ASK = "ask"
    """Ask a holder first."""
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class QuotaQuery:
    """A datagram to send, and the daemon whose answer to wait for."""

    holder: str
    address: Address
    ask: QuotaAsk


QuotaSteps: TypeAlias = Generator[QuotaQuery, tuple[QuotaAnswer | None, float], QuotaAnswer | None]


@dataclass(slots=True)
class QuotaState:
    """What this daemon knows about the quota of one workspace."""

    share_tokens: float
    """Requests that it may admit without an answer, as of ``share_updated_at``."""
    share_updated_at: float
    scarce_until: float = float("-inf")
    blocked_until: float = float("-inf")
    retry_at: float = float("-inf")
    unanswered_at: float = float("-inf")


@dataclass(slots=True)
class Silence:
    """The time since which a holder has not answered."""

    since: float
    last_at: float


class WorkspaceQuotas:
    """The decisions of one daemon about quotas, as their holder and for its own callers.

    It does no I/O and reads no clock. :meth:`ask` is a generator: it yields each datagram to send
    and receives the answer, or ``None`` if none came in time, and the time::

        decision = quotas.decide(workspace, now)
        if decision is QuotaDecision.ASK:
            steps = quotas.ask(workspace, now)
    """

    def __init__(self, world: RoutingWorld, membership: Membership, has_seeds: bool) -> None:
        self.buckets = QuotaBuckets(world.limits)
        self.states: dict[str, QuotaState] = {}
        self._world = world
        self._membership = membership
        self._has_seeds = has_seeds
        self._started_at = world.started_at
        self._heard_at = float("-inf")
        self._silent: dict[str, Silence] = {}
        self._probed_at: dict[str, float] = {}
        self._probes: list[tuple[Workspace, str]] = []
        self._noticed_at: dict[str, float] = {}
        self._known_candidates: tuple[str, ...] = ()
        # Answers to the previous process must not be taken for answers to this one.
        self._numbers = itertools.count(membership.own.incarnation)

    def decide(self, workspace: Workspace, now: float) -> QuotaDecision:
        """Decide about a request of *workspace* from what is known without asking."""
        state = self._state(workspace, now)
        if now < state.blocked_until:
            return QuotaDecision.REFUSE
        is_new = now - self._started_at < SETTLE_S
        is_unanswered = now - state.unanswered_at < SCARCE_S
        if is_new or is_unanswered or now < state.scarce_until:
            return QuotaDecision.ASK
        return QuotaDecision.ADMIT

    def ask(
        self, workspace: Workspace, now: float, count: int = 1, is_admitted: bool = False
    ) -> QuotaSteps:
        """Report *count* requests to the holder or its stand-in, or ask; return the answer."""
        is_referred = False
        for name, address in self._holders(workspace.name, now):
            ask = self._ask(workspace, count, is_admitted, is_referred)
            if address is None:
                answer = self.handle(ask, now)
            else:
                answer, now = yield QuotaQuery(name, address, ask)
            if answer is None:
                self._record_silence(name, now)
            elif answer.is_leaving:
                is_referred = True
            elif not answer.is_elsewhere:
                self._record_answer(workspace, answer, now)
                return answer
        if count > 0:
            self._record_unanswered(workspace, is_admitted, now)
        return None

    def probe(self, workspace: Workspace, name: str, now: float) -> QuotaSteps:
        """Check whether the holder *name* is back."""
        address = self._address(name)
        if address is None:
            return None
        answer, now = yield QuotaQuery(name, address, self._ask(workspace, 0, False, False))
        if answer is None:
            self._record_silence(name, now)
        return answer

    def handle(self, ask: QuotaAsk, now: float) -> QuotaAnswer:
        """Answer an ask of another daemon, or of this one."""
        candidates = self._candidates(now)
        order = rendezvous_order(ask.workspace, candidates, HOLDER_COUNT)
        if self._membership.own.name not in candidates:
            return QuotaAnswer(ask.number, is_leaving=True)
        if self._membership.own.name not in order:
            return QuotaAnswer(ask.number, is_elsewhere=True)
        ask = self._under_own_version(ask)
        return self.buckets.take(ask, self._factor(ask, order, now), now)

    def use_share(self, workspace: Workspace, now: float) -> float | None:
        """Admit a request that no holder has answered if it fits into this daemon's share.

        Returns the time until there is room if it does not fit.
        """
        state = self._refilled_state(workspace, now)
        if state.share_tokens >= 1.0:
            state.share_tokens -= 1.0
            return None
        return min(MAX_RETRY_S, (1.0 - state.share_tokens) / self._share_per_s(workspace))

    def retry_s(self, workspace: Workspace, now: float) -> float:
        """Return when a caller that is refused without asking should try again."""
        state = self._state(workspace, now)
        earliest = max(state.retry_at + 1.0 / workspace.rate_per_s, state.blocked_until)
        state.retry_at = max(state.blocked_until, min(earliest, now + MAX_RETRY_S))
        return max(0.0, state.retry_at - now)

    def heard(self, name: str, now: float) -> None:
        """Record a datagram from another daemon."""
        if now - self._heard_at >= CUT_OFF_S:
            self.buckets.trim()
        self._heard_at = now
        self._silent.pop(name, None)

    def record_scarce(self, workspace: str, now: float) -> None:
        """Record a holder's notice that a quota is nearly used up."""
        state = self.states.setdefault(workspace, QuotaState(1.0, now))
        state.scarce_until = now + SCARCE_S

    def is_notice_due(self, workspace: str, now: float) -> bool:
        """Return whether to tell all daemons now that the quota is nearly used up."""
        bucket = self.buckets.get(workspace)
        if bucket is None or not bucket.is_scarce:
            return False
        if now - self._noticed_at.get(workspace, float("-inf")) < NOTICE_INTERVAL_S:
            return False
        self._noticed_at[workspace] = now
        return True

    def take_probes(self) -> list[tuple[Workspace, str]]:
        """Return the holders to check, each with a workspace, and clear the list."""
        probes, self._probes = self._probes, []
        return probes

    def holder_names(self, workspace: str, now: float) -> list[str]:
        """Return the names of the holder of a workspace and of its stand-in."""
        return self._order(workspace, now)

    def _ask(
        self, workspace: Workspace, count: int, is_admitted: bool, is_referred: bool
    ) -> QuotaAsk:
        config = self._world.catalog.config
        return QuotaAsk(
            next(self._numbers),
            workspace.name,
            config.version if config is not None else 0,
            workspace.rate_per_s,
            workspace.burst,
            count,
            is_admitted,
            is_referred,
        )

    def members_changed(self, now: float) -> None:
        """Note when the daemons that may be holders have changed."""
        candidates = self._candidates(now)
        if candidates != self._known_candidates:
            self._known_candidates = candidates
            self.buckets.began_at = now

    def record_late(self, workspace: Workspace, answer: QuotaAnswer, now: float) -> None:
        """Record an answer that came after the request had been charged to the own share."""
        if answer.is_leaving or answer.is_elsewhere:
            return
        state = self._refilled_state(workspace, now)
        if answer.is_granted:
            state.share_tokens = min(1.0, state.share_tokens + 1.0)
        self._record_answer(workspace, answer, now)

    def _holders(self, workspace: str, now: float) -> list[tuple[str, Address | None]]:
        """Return the daemons to ask; the address of this one is ``None``."""
        holders: list[tuple[str, Address | None]] = []
        for name in self._order(workspace, now):
            silence = self._silent.get(name)
            if name == self._membership.own.name:
                holders.append((name, None))
            elif silence is None or now - silence.last_at >= AVOID_S:
                holders.append((name, self._address(name)))
        return holders

    def _order(self, workspace: str, now: float) -> list[str]:
        """Return the holder of a workspace and its stand-in, as far as this daemon knows."""
        return rendezvous_order(workspace, self._candidates(now), HOLDER_COUNT)

    def _candidates(self, now: float) -> tuple[str, ...]:
        """Return the daemons that may be holders: those that are settled.

        All daemons know the start of a new one before it becomes a holder, so the old holder ends
        when the new one begins. Daemons that have started with the oldest one are settled, since
        there is no old holder.
        """
        own = self._membership.own
        reports = [own, *(row.report for row in self._membership.alive(now))]
        staying = [report for report in reports if not report.is_leaving] or [own]
        oldest_ms = min(report.incarnation for report in staying)
        latest_ms = max((now - SETTLE_S) * 1000, oldest_ms + STARTED_TOGETHER_S * 1000)
        return tuple(sorted(r.name for r in staying if r.incarnation <= latest_ms))

    def _factor(self, ask: QuotaAsk, order: list[str], now: float) -> float:
        """Return the part of the rate that this daemon grants; 0 if it is not the holder."""
        own_name = self._membership.own.name
        if self._is_cut_off(now):
            return 0.0
        if order[0] != own_name and not ask.is_referred:
            self._probe_if_due(ask.workspace, order[0], now)
            if not self._is_replaced(order[0], now):
                return 0.0
        return self._reached_share(now)

    def _is_replaced(self, holder: str, now: float) -> bool:
        """Return whether *holder* has not answered for so long that the stand-in replaces it."""
        silence = self._silent.get(holder)
        if silence is None or now - silence.last_at >= TAKEOVER_S:
            return False
        return now - silence.since >= TAKEOVER_S

    def _is_cut_off(self, now: float) -> bool:
        """Return whether other daemons should have sent something and have not."""
        has_others = self._has_seeds or bool(self._membership.rows())
        return has_others and now - self._heard_at >= CUT_OFF_S

    def _reached_share(self, now: float) -> float:
        """Return the part of the daemons that are alive, since each part has its own holder."""
        staying = [row for row in self._membership.rows() if not row.report.is_leaving]
        alive = [row for row in self._membership.alive(now) if not row.report.is_leaving]
        return (len(alive) + 1) / (len(staying) + 1)

    def _probe_if_due(self, workspace_name: str, holder: str, now: float) -> None:
        if now - self._probed_at.get(holder, float("-inf")) < PROBE_INTERVAL_S:
            return
        workspace = self._own_workspace(workspace_name)
        if workspace is not None:
            self._probed_at[holder] = now
            self._probes.append((workspace, holder))

    def _under_own_version(self, ask: QuotaAsk) -> QuotaAsk:
        """Return *ask* with the quota of this daemon's configuration if that one is newer."""
        config = self._world.catalog.config
        if config is None or config.version <= ask.version:
            return ask
        workspace = self._own_workspace(ask.workspace)
        if workspace is None or workspace.rate_per_s <= 0:
            return ask
        return replace(
            ask,
            version=config.version,
            rate_per_s=workspace.rate_per_s,
            burst=workspace.burst,
        )

    def _own_workspace(self, name: str) -> Workspace | None:
        config = self._world.catalog.config
        if config is None:
            return None
        return next((entry for entry in config.workspaces if entry.name == name), None)

    def _address(self, name: str) -> Address | None:
        for row in self._membership.rows():
            if row.report.name == name:
                return row.report.address
        return None

    def _record_silence(self, name: str, now: float) -> None:
        silence = self._silent.get(name)
        if silence is None or now - silence.last_at >= TAKEOVER_S:
            self._silent[name] = Silence(now, now)
        else:
            silence.last_at = now

    def _record_answer(self, workspace: Workspace, answer: QuotaAnswer, now: float) -> None:
        state = self._state(workspace, now)
        state.unanswered_at = float("-inf")
        if answer.is_scarce:
            state.scarce_until = now + SCARCE_S
        if not answer.is_granted:
            state.blocked_until = now + min(answer.room_s, MAX_BLOCK_S)
            state.retry_at = now + answer.retry_s

    def _record_unanswered(self, workspace: Workspace, is_admitted: bool, now: float) -> None:
        state = self._refilled_state(workspace, now)
        state.unanswered_at = now
        if is_admitted:
            state.share_tokens -= 1.0

    def _state(self, workspace: Workspace, now: float) -> QuotaState:
        state = self.states.get(workspace.name)
        if state is None:
            is_new = now - self._started_at < SETTLE_S
            tokens = self._phase(workspace) if is_new else 1.0
            state = self.states[workspace.name] = QuotaState(tokens, now)
        return state

    def _refilled_state(self, workspace: Workspace, now: float) -> QuotaState:
        """Return the state with the own share up to date.

        At most one request is saved up, and less if the quota was nearly used up when a holder was
        last heard, or after a start, since all daemons may send what they have saved together.
        """
        state = self._state(workspace, now)
        earned = self._share_per_s(workspace) * (now - state.share_updated_at)
        state.share_tokens = min(1.0, state.share_tokens + earned)
        if now < state.scarce_until and now - state.unanswered_at >= SCARCE_S:
            state.share_tokens = min(state.share_tokens, self._phase(workspace))
        state.share_updated_at = now
        return state

    def _phase(self, workspace: Workspace) -> float:
        """Return a fraction that differs between daemons."""
        return stable_hash(self._membership.own.name, workspace.name) / _HASH_RANGE

    def _share_per_s(self, workspace: Workspace) -> float:
        return workspace.rate_per_s / self._membership.possible_member_count()
