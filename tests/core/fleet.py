"""Several cores in one process, in virtual time, connected by a simulated network.

::

    fleet = FleetDriver(daemons=3)
    fleet.run(1.0)
    number = fleet.ask("m-1", "search")
    fleet.run(1.0)
    fleet.answers[number].code
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from marigoldwalk.config.view import Address
from marigoldwalk.core import actions, events
from marigoldwalk.core.composition import Core
from marigoldwalk.core.parameters import Parameters
from marigoldwalk.core.world import Identity

from .fakes import FakeServer, Platform, Run
from .views import DOMAINS, REPLICAS, FakeDocuments, make_view

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from marigoldwalk.config.view import View

START = 1_000_000.0
POLL_S = 0.5
"""Interval at which a daemon reads the platform."""
RESTART_S = 0.5
"""Time that a server takes to restart."""


@dataclass
class Network:
    """Delays, losses and partitions of the network; ratios are fractions of the messages."""

    delay_s: float = 0.001
    jitter_s: float = 0.0
    loss_ratio: float = 0.0
    duplication_ratio: float = 0.0
    cuts: set[frozenset[str]] = field(default_factory=set)
    """Pairs of daemons, or of a daemon and a server, that cannot reach each other."""

    def split(self, *parts: Iterable[str]) -> None:
        """Cut every link between members of different parts."""
        groups = [list(part) for part in parts]
        for number, group in enumerate(groups):
            for other in groups[number + 1 :]:
                self.cuts |= {frozenset((a, b)) for a in group for b in other}

    def heal(self) -> None:
        """Restore every link."""
        self.cuts.clear()


@dataclass
class Node:
    """One daemon: its core, and the state of its process."""

    name: str
    domain: str
    address: Address
    core: Core
    up: bool = True
    paused: bool = False
    mailbox: list[events.Event] = field(default_factory=list)
    wakeup_at: float = float("inf")
    attempts: dict[int, str] = field(default_factory=dict)
    """The server of each subrequest in flight."""
    exited: bool = False
    ready: bool = False
    steps: list[tuple[float, list[events.Event]]] = field(default_factory=list)
    """The time and the events of every step."""
    step_actions: list[list[actions.Action]] = field(default_factory=list)
    """The actions of every step."""
    skew_s: float = 0.0
    """How far the daemon's clock is ahead."""


class FleetDriver:
    """Runs the cores of several daemons against fake servers and a fake platform."""

    def __init__(
        self,
        daemons: int = 3,
        *,
        view: View | None = None,
        parameters: Parameters | None = None,
        seed: int = 0,
        network: Network | None = None,
        skews: dict[str, float] | None = None,
    ) -> None:
        self.now = START
        self.random = random.Random(seed)
        self.network = network or Network()
        self.skews = skews or {}
        self.parameters = parameters or Parameters()
        self.documents = FakeDocuments()
        self.platform = Platform()
        self.nodes: dict[str, Node] = {}
        self.servers: dict[str, FakeServer] = {}
        self.answers: dict[int, actions.AnswerCaller] = {}
        self.answered_at: dict[int, float] = {}
        self.asked: dict[int, tuple[str, events.QueryReceived]] = {}
        self.runs: list[Run] = []
        self.log: list[tuple[float, str, object]] = []
        """Every event and action, as (time, daemon, event or action)."""
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._names = [f"m-{number}" for number in range(1, daemons + 1)]
        self.publish(view or make_view())
        self._start_servers()
        self.publish_instances(self._names)
        for name in self._names:
            self.start(name)

    # The platform and the operators

    def publish(self, view: View) -> None:
        """Publish a configuration document."""
        text = self.documents.add(view)
        self.platform.texts.append((self.now, view.revision, text))
        self.view = view

    def publish_instances(self, names: Iterable[str], leaving: Iterable[str] = ()) -> None:
        """Publish an instance list."""
        leaving_names = set(leaving)
        listed = tuple(
            events.Instance(name, _address(name), _domain(name), name in leaving_names)
            for name in names
        )
        self.platform.lists.append((self.now, listed))

    def _start_servers(self) -> None:
        services = len(self.view.servers) // REPLICAS
        for number, server in enumerate(self.view.servers):
            service = number // REPLICAS
            self.servers[server.name] = FakeServer(server.name, service, self.now, services)

    def load_snapshots(self, *snapshots: int, servers: Iterable[str] = ()) -> None:
        """Replace the loaded snapshots of *servers* (all by default)."""
        for name in servers or self.servers:
            self.servers[name].snapshots = snapshots

    # Daemons

    def start(self, name: str) -> None:
        """Start a daemon, or restart it with empty state."""
        skew_s = self.skews.get(name, 0.0)
        identity = Identity(name, _domain(name), _address(name), self.now + skew_s)
        core = Core(identity, self.parameters, self.documents.accept)
        node = Node(name, identity.domain, identity.address, core, skew_s=skew_s)
        self.nodes[name] = node
        self._deliver(node, [])
        self._poll(node)

    def kill(self, name: str) -> None:
        """Kill a daemon; the other daemons see their connections to it break."""
        self.nodes[name].up = False
        for other in self.live():
            if frozenset((other.name, name)) not in self.network.cuts:
                self._later(self.network.delay_s, other, events.PeerDisconnected(name))

    def pause(self, name: str, seconds: float) -> None:
        """Pause a daemon's process; events that arrive meanwhile are handled when it resumes."""
        node = self.nodes[name]
        node.paused = True
        self.after(seconds, lambda: self._resume(node))

    def _resume(self, node: Node) -> None:
        node.paused = False
        mailbox, node.mailbox = node.mailbox, []
        self._deliver(node, mailbox)

    def live(self) -> list[Node]:
        """Return the daemons that are up."""
        return [node for node in self.nodes.values() if node.up]

    def stop(self, name: str) -> None:
        """Request a planned stop of a daemon."""
        self._deliver(self.nodes[name], [events.StopRequested()])

    def _poll(self, node: Node) -> None:
        """Read the platform for a daemon, now and every ``POLL_S``."""
        if not node.up:
            return
        self.after(POLL_S, lambda: self._poll(node))
        self._read_platform(node)

    def _read_platform(self, node: Node) -> None:
        if node.paused or node.name in self.platform.down_for:
            return
        requested_at = self.now + node.skew_s
        version, instances = self.platform.instances(node.name, self.now)
        replies: list[events.Event] = [events.InstancesRead(version, instances, requested_at)]
        if not self.platform.configuration_down:
            replies.insert(0, self._read_document(node, requested_at))
        for reply in replies:
            self._later(self.network.delay_s, node, reply)

    def _read_document(self, node: Node, requested_at: float) -> events.Event:
        revision, text = self.platform.document()
        view = node.core.world.view
        if view is not None and view.revision == revision:
            return events.PlatformConfirmed(revision, requested_at)
        return events.DocumentRead(text, requested_at)

    # Callers

    def ask(self, daemon: str, group: str = "search", body: str = "text", **fields: object) -> int:
        """Send a query to a daemon and return its number."""
        number = len(self.asked) + 1
        query = events.QueryReceived(number, group, body, **fields)
        self.asked[number] = (daemon, query)
        node = self.nodes[daemon]
        if node.up:
            self._deliver(node, [query])
        return number

    def inject(self, daemon: str, event: events.Event) -> None:
        """Deliver an event that the test made to a daemon."""
        self._deliver(self.nodes[daemon], [event])

    def cancel(self, number: int) -> None:
        """Deliver the cancellation of a query by its caller."""
        node = self.nodes[self.asked[number][0]]
        self._deliver(node, [events.QueryCancelled(number)])

    # Time

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule *action* to run in *seconds*."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + seconds, self._sequence, action))

    def run(self, seconds: float) -> None:
        """Advance virtual time, running the actions that become due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def _later(self, seconds: float, node: Node, event: events.Event) -> None:
        self.after(seconds, lambda: self._deliver(node, [event]))

    def _deliver(self, node: Node, arrived: list[events.Event]) -> None:
        if not node.up:
            return
        if node.paused:
            node.mailbox.extend(arrived)
            return
        self.log.extend((self.now, node.name, event) for event in arrived)
        step_actions = node.core.step(self.now + node.skew_s, arrived)
        node.steps.append((self.now + node.skew_s, arrived))
        node.step_actions.append(step_actions)
        for action in step_actions:
            self.log.append((self.now, node.name, action))
            self._perform(node, action)
        self._schedule_wakeup(node)

    def _schedule_wakeup(self, node: Node) -> None:
        wakeup = node.core.next_wakeup()
        if wakeup is None or wakeup >= node.wakeup_at:
            return
        node.wakeup_at = wakeup
        self.after(max(wakeup - node.skew_s - self.now, 0.0), lambda: self._on_wakeup(node, wakeup))

    def _on_wakeup(self, node: Node, wakeup: float) -> None:
        if node.wakeup_at == wakeup:
            node.wakeup_at = float("inf")
            self._deliver(node, [])

    # Actions

    def _perform(self, node: Node, action: actions.Action) -> None:
        if isinstance(action, actions.AnswerCaller):
            assert action.query not in self.answers, "a query was answered twice"
            self.answers[action.query] = action
            self.answered_at[action.query] = self.now
        elif isinstance(action, actions.SendPeer):
            self._send_peer(node, action)
        elif isinstance(action, actions.SendSubrequest):
            self._send_subrequest(node, action)
        elif isinstance(action, actions.CancelSubrequest):
            self._cancel(node, action.attempt)
        elif isinstance(action, actions.ProbeServer):
            self._probe(node, action.server)
        elif isinstance(action, actions.ReadInstances):
            self._read_platform(node)
        elif isinstance(action, actions.ReadinessChanged):
            node.ready = action.ready
        elif isinstance(action, actions.Exit):
            node.exited = True
            node.up = False

    def _delay_s(self) -> float:
        return self.network.delay_s + self.random.random() * self.network.jitter_s

    def _cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.network.cuts

    def _send_peer(self, node: Node, action: actions.SendPeer) -> None:
        target = self.nodes.get(action.peer)
        if self._cut(node.name, action.peer):
            return
        if target is None or not target.up:
            self._later(
                self.network.delay_s, node, events.PeerDisconnected(action.peer, refused=True)
            )
            return
        if self.random.random() < self.network.loss_ratio:
            return
        copies = 2 if self.random.random() < self.network.duplication_ratio else 1
        for _ in range(copies):
            self._later(self._delay_s(), target, events.PeerReceived(node.name, action.message))

    def _send_subrequest(self, node: Node, action: actions.SendSubrequest) -> None:
        node.attempts[action.attempt] = action.server
        action = replace(action, deadline=action.deadline - node.skew_s)
        self.after(action.deadline - self.now, lambda: self._time_out(node, action))
        if not self._cut(node.name, action.server):
            self.after(self._delay_s(), lambda: self._arrive(node, action))

    def _arrive(self, node: Node, request: actions.SendSubrequest) -> None:
        if request.attempt not in node.attempts:
            return
        server = self.servers[request.server]
        if not server.up:
            lost = events.ServerLost(request.attempt, sent=False, timed_out=False)
            self._reply(node, request.attempt, lost)
            return
        refusal = server.refusal_for(request, self.now)
        if refusal is not None:
            self._reply(node, request.attempt, server.reply(request, refusal))
            return
        key = (node.name, request.attempt)
        server.begin(key, request)
        self.runs.append(Run(self.now, server.name, node.name, request.request_id, request.body))
        incarnation = server.incarnation
        latency_s = server.draw_latency_s(self.random)
        self.after(latency_s, lambda: self._complete(node, server, incarnation, key))

    def _complete(
        self, node: Node, server: FakeServer, incarnation: str, key: tuple[str, int]
    ) -> None:
        if server.incarnation != incarnation or not server.up or key not in server.running:
            return
        if server.crashes_on(server.running[key]):
            self.crash_server(server.name)
            return
        self._reply(node, key[1], server.finish(key))

    def _reply(self, node: Node, attempt: int, event: events.Event) -> None:
        def arrive() -> None:
            if node.attempts.pop(attempt, None) is not None:
                self._deliver(node, [event])

        self.after(self._delay_s(), arrive)

    def _time_out(self, node: Node, request: actions.SendSubrequest) -> None:
        if node.attempts.pop(request.attempt, None) is None:
            return
        self.servers[request.server].running.pop((node.name, request.attempt), None)
        lost = events.ServerLost(request.attempt, sent=True, timed_out=True)
        self._deliver(node, [lost])

    def _cancel(self, node: Node, attempt: int) -> None:
        server = self.servers.get(node.attempts.pop(attempt, ""))
        if server is None or self._cut(node.name, server.name):
            return

        def arrive() -> None:
            server.running.pop((node.name, attempt), None)
            self._later(self._delay_s(), node, events.SubrequestEnded(attempt))

        self.after(self._delay_s(), arrive)

    def _probe(self, node: Node, name: str) -> None:
        server = self.servers[name]
        if self._cut(node.name, name):
            self._later(1.0, node, events.ProbeFailed(name, refused=False))
        elif not server.up:
            self._later(self.network.delay_s, node, events.ProbeFailed(name, refused=True))
        else:
            reply = events.ProbeReply(
                name,
                server.incarnation,
                draining=server.draining and not server.misreports_health,
                cold=server.cold and not server.misreports_health,
                holdings=server.holdings(),
            )
            self._later(2 * self._delay_s(), node, reply)

    # Servers

    def crash_server(self, name: str, restart_s: float = RESTART_S) -> None:
        """Crash a server and everything that it runs; it restarts cold after *restart_s*."""
        server = self.servers[name]
        server.up = False
        server.crashes += 1
        for daemon, attempt in list(server.running):
            node = self.nodes[daemon]
            lost = events.ServerLost(attempt, sent=True, timed_out=False)
            self._reply(node, attempt, lost)
        server.running = {}
        for node in self.live():
            if not self._cut(node.name, name):
                self._later(self._delay_s(), node, events.ServerClosedConnection(name))
        self.after(restart_s, lambda: server.restart(self.now))

    def runs_by_request(self) -> dict[str, int]:
        """Return how many times each request id was run."""
        counts: dict[str, int] = {}
        for run in self.runs:
            if run.request_id:
                counts[run.request_id] = counts.get(run.request_id, 0) + 1
        return counts


def _address(name: str) -> Address:
    return Address("127.0.0.1", 7000 + int(name.split("-")[1]))


def _domain(name: str) -> str:
    return DOMAINS[int(name.split("-")[1]) % len(DOMAINS)]
