"""Every answer comes from one snapshot and states its coverage correctly."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from marigoldwalk.core.events import PeerReceived, ReplyState, ServerReply
from marigoldwalk.core.peer_messages import BlockReply
from marigoldwalk.errors import Code

from .fleet import FleetDriver, Network
from .hypothesis_settings import deterministic_settings
from .scenario import Scenario
from .views import SERVICES, best_hits, make_view

if TYPE_CHECKING:
    from marigoldwalk.core.actions import AnswerCaller

DAEMONS = 3
names = st.sampled_from([f"m-{number}" for number in range(1, DAEMONS + 1)])
servers = st.integers(0, 2 * SERVICES - 1)
steps = st.one_of(
    st.tuples(st.just("ask"), names),
    st.tuples(st.just("ask"), names),
    st.tuples(st.just("ask"), names),
    st.tuples(st.just("load"), servers),
    st.tuples(st.just("load"), servers),
    st.tuples(st.just("drop"), servers),
    st.tuples(st.just("crash"), servers),
    st.tuples(st.just("slow"), servers),
    st.tuples(st.just("drain"), servers),
    st.tuples(st.just("restart"), names),
    st.tuples(st.just("pause"), names),
    st.tuples(st.just("repeat"), st.integers(0, 50)),
)
scenarios = st.lists(
    st.tuples(st.sampled_from([0.0, 0.002, 0.05, 0.6]), steps), min_size=5, max_size=40
)


class SnapshotScenario(Scenario):
    """Runs steps against a fleet while index versions change."""

    slow_s = 0.4

    def __init__(self, seed: int, coverage: str) -> None:
        network = Network(jitter_s=0.003, duplication_ratio=0.1, loss_ratio=0.01)
        self.fleet = FleetDriver(
            DAEMONS, view=make_view(coverage=coverage), seed=seed, network=network
        )
        self.fleet.run(2.0)

    def ask(self, name: str) -> None:
        self.fleet.ask(name, "search")

    def load(self, number: int) -> None:
        """Load the next snapshot beside the newest one; every second one is repartitioned."""
        server = self._server(number)
        server.snapshots = (server.snapshots[-1], server.snapshots[-1] + 1)

    def drop(self, number: int) -> None:
        server = self._server(number)
        server.snapshots = server.snapshots[-1:]

    def drain(self, number: int) -> None:
        server = self._server(number)
        server.draining = not server.draining

    def restart(self, name: str) -> None:
        self.fleet.kill(name)
        self.fleet.start(name)

    def pause(self, name: str) -> None:
        if not self.fleet.nodes[name].paused:
            self.fleet.pause(name, 0.3)

    def repeat(self, offset: int) -> None:
        """Deliver an old reply again: a server's to its own daemon, a home's to every daemon."""
        replies = [
            (name, event)
            for _, name, event in self.fleet.log
            if isinstance(event, ServerReply)
            or (isinstance(event, PeerReceived) and isinstance(event.message, BlockReply))
        ]
        if not replies:
            return
        name, event = replies[-1 - offset % len(replies)]
        for node in self.fleet.live():
            if node.name == name or isinstance(event, PeerReceived):
                self.fleet.inject(node.name, event)


def check_answer(answer: AnswerCaller) -> None:
    """Compare an answer with a direct computation over the shards that it covers."""
    if answer.code not in (Code.OK, Code.PARTIAL):
        assert answer.hits == ()
        return
    missing = {shard.shard for shard in answer.missing}
    covered = set(range(answer.shard_count)) - missing
    parts = 2 if answer.snapshot % 2 == 0 else 1
    assert answer.shard_count == SERVICES * parts
    assert answer.answered == len(covered)
    assert (answer.code is Code.OK) == (not missing)
    assert answer.hits == best_hits(answer.snapshot, answer.shard_count, covered)


@deterministic_settings(60)
@given(scenarios, st.integers(0, 1000), st.sampled_from(["wait", "diminishing"]))
def test_answers_equal_a_direct_computation(scenario, seed, coverage):
    trial = SnapshotScenario(seed, coverage)
    trial.run(scenario)
    for answer in trial.fleet.answers.values():
        check_answer(answer)


@deterministic_settings(20)
@given(st.permutations(range(2 * SERVICES)), st.integers(0, 1000))
def test_a_rolling_change_of_snapshot_costs_no_answer(order, seed):
    """Servers load a repartitioned snapshot one by one, keep the old one, then drop it."""
    fleet = FleetDriver(DAEMONS, seed=seed)
    fleet.run(8.0)
    numbers = []
    for snapshots in ((1, 2), (2,)):
        for number in order:
            fleet.servers[sorted(fleet.servers)[number]].snapshots = snapshots
            numbers += [fleet.ask(f"m-{1 + number % DAEMONS}")]
            fleet.run(0.2)
        fleet.run(1.0)
    for number in numbers:
        check_answer(fleet.answers[number])
        assert fleet.answers[number].code is Code.OK, fleet.answers[number]
    assert {fleet.answers[number].snapshot for number in numbers} == {1, 2}


def test_a_reply_of_another_snapshot_is_not_merged():
    fleet = FleetDriver(1)
    fleet.run(2.0)
    for server in fleet.servers.values():
        finish = server.finish
        server.finish = lambda key, finish=finish: _with_other_snapshot(finish(key))
    number = fleet.ask("m-1")
    fleet.run(1.0)
    assert fleet.answers[number].hits == ()
    assert fleet.answers[number].answered == 0


def _with_other_snapshot(reply: ServerReply) -> ServerReply:
    return ServerReply(reply.attempt, ReplyState.DONE, reply.incarnation, 99, reply.shards)
