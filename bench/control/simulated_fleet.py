"""Simulated peers, backend servers and platform around the measured daemon."""

from __future__ import annotations

import gc
from typing import TYPE_CHECKING

from marigoldwalk.core import actions, events
from marigoldwalk.core import peer_messages as messages
from marigoldwalk.core.events import PeerReceived

from .layouts import document_text, instances
from .measured_daemon import MeasuredDaemon

if TYPE_CHECKING:
    from marigoldwalk.core.events import Event

    from .layouts import Layout

START = 1_000_000.0
TICK_S = 0.01
TICKS_PER_HEARTBEAT = 25
TICKS_PER_STATUS = 100
TICKS_PER_PLATFORM_READ = 100
SNAPSHOT = 1
HITS_PER_REPLY = 10
HIT_BODY = '{"title":"acuerdo sobre un muro medianero","place":"Quito"}'


class SimulatedFleet:
    """Runs one real core in ticks of virtual time, in a fleet of scripted peers.

    Each peer sends heartbeats, and the status of each block whose first home it is, with the
    contents and at the rate of a real daemon. It answers handovers, claims and block requests, and
    does nothing else. Servers answer in the next tick. This measures the cost of one daemon in a
    fleet of thousands without running thousands.
    """

    def __init__(self, daemons: int, layout: Layout) -> None:
        self.now = START
        self.layout = layout
        self.list_version = 1
        self.instance_list = instances(daemons, layout.domains)
        self.daemon = MeasuredDaemon(self.instance_list[0], START - 1000.0)
        self.world = self.daemon.core.world
        self.answers: list[actions.AnswerCaller] = []
        self.replies: list[messages.BlockReply] = []
        self._text = document_text(layout)
        self._tick = 0
        self._next_events: list[Event] = []
        self._last_daemon_sequence = 0
        self._sequence = 0
        self._next_number = 1
        self._deliver([events.DocumentRead(self._text, self.now), self.instance_list_event()])
        # Full garbage collections would traverse the view and the simulated peers, at different
        # times in each run.
        gc.collect()
        gc.freeze()

    def instance_list_event(self) -> events.InstancesRead:
        """Return the event by which the daemon reads the current instance list."""
        return events.InstancesRead(self.list_version, self.instance_list, self.now)

    def publish_instance_list(self, instance_list: tuple[events.Instance, ...]) -> None:
        """Change the instance list; the daemon reads it in the next tick."""
        self.list_version += 1
        self.instance_list = instance_list
        self._next_events.append(self.instance_list_event())

    def post(self, event: Event) -> None:
        """Deliver *event* to the daemon in the next tick."""
        self._next_events.append(event)

    def reserve_numbers(self, count: int) -> int:
        """Reserve *count* consecutive unused numbers and return the first."""
        first = self._next_number
        self._next_number += count
        return first

    def run(self, seconds: float) -> None:
        """Advance virtual time by *seconds*."""
        for _ in range(round(seconds / TICK_S)):
            self._tick += 1
            self.now = START + self._tick * TICK_S
            batch, self._next_events = self._next_events, []
            batch += self._heartbeats()
            batch += self._statuses()
            if self._tick % TICKS_PER_PLATFORM_READ == 0:
                batch += [self.instance_list_event(), events.PlatformConfirmed(1, self.now)]
            self._deliver(batch)

    def _heartbeats(self) -> list[Event]:
        phase = self._tick % TICKS_PER_HEARTBEAT
        if phase == 1:
            self._sequence += 1
        view = self.world.view
        heartbeat = messages.Heartbeat(
            sequence=self._sequence,
            started_at=START - 500.0,
            revision=view.revision if view else 0,
            digest=view.digest if view else "",
            list_version=self.list_version,
            confirmed_age_s=0.5,
            leaving=False,
            reply_to=self._last_daemon_sequence,
        )
        peers = self.instance_list[phase::TICKS_PER_HEARTBEAT] if self._sequence else ()
        return [
            PeerReceived(peer.name, heartbeat) for peer in peers if peer.name != self.daemon.name
        ]

    def _statuses(self) -> list[Event]:
        phase = self._tick % TICKS_PER_STATUS
        received: list[Event] = []
        for block in self.world.view.blocks[phase::TICKS_PER_STATUS]:
            row = self.world.blocks.get(block.name)
            if row is not None and row.homes and row.homes[0] != self.daemon.name:
                received.append(PeerReceived(row.homes[0], self._status(block.name)))
        return received

    def _status(self, block: str) -> messages.BlockStatus:
        view = self.world.view
        services = [replicas.servers[0].service for replicas in view.replica_sets_of_block[block]]
        return messages.BlockStatus(
            block=block,
            sequence=self._tick,
            sent_at=self.now,
            holdings=(self._holding(services),),
            waits_s=(0.0,) * 4,
            warm=tuple(f"{name}/1" for name in view.block_by_name[block].servers),
        )

    def _holding(self, services: list[str]) -> messages.Holding:
        shards = tuple(int(service.rpartition("s")[2]) for service in services)
        return messages.Holding(SNAPSHOT, self.layout.services, shards)

    def _deliver(self, batch: list[Event]) -> None:
        for action in self.daemon.deliver(self.now, batch):
            self._respond(action)

    def _respond(self, action: actions.Action) -> None:
        if isinstance(action, actions.SendPeer):
            self._answer_peer(action.peer, action.message)
        elif isinstance(action, actions.ProbeServer):
            self._next_events.append(self._probe_reply(action.server))
        elif isinstance(action, actions.SendSubrequest):
            self._next_events.append(self._server_reply(action))
        elif isinstance(action, actions.AnswerCaller):
            self.answers.append(action)

    def _answer_peer(self, peer: str, message: messages.PeerMessage) -> None:
        answer: messages.PeerMessage | None = None
        if isinstance(message, messages.Heartbeat):
            self._last_daemon_sequence = message.sequence
        elif isinstance(message, messages.HandoverRequest):
            answer = messages.HandoverReply(message.block, message.list_version, self.now)
        elif isinstance(message, messages.ClaimRequest):
            answer = messages.ClaimReply(
                message.request_id, message.claim, messages.ClaimAnswer.PROMISED, 0.0
            )
        elif isinstance(message, messages.BlockRequest):
            answer = self._block_reply(message)
        elif isinstance(message, messages.BlockReply):
            self.replies.append(message)
        if answer is not None:
            self._next_events.append(PeerReceived(peer, answer))

    def _block_reply(self, request: messages.BlockRequest) -> messages.BlockReply:
        return messages.BlockReply(
            task=request.task,
            block=request.block,
            snapshot=request.snapshot,
            shards=request.shards,
            hits=_hits(request.shards[0]),
            missing=(),
            ran=True,
            retry_after_s=0.0,
            attempts=len(request.shards),
            waits_s=(0.0,) * 4,
        )

    def _probe_reply(self, server: str) -> events.ProbeReply:
        service = self.world.view.server_by_name[server].service
        return events.ProbeReply(
            server, f"{server}/1", draining=False, cold=False, holdings=(self._holding([service]),)
        )

    def _server_reply(self, action: actions.SendSubrequest) -> events.ServerReply:
        return events.ServerReply(
            action.attempt,
            events.ReplyState.DONE,
            f"{action.server}/1",
            action.snapshot,
            action.shards,
            _hits(action.shards[0]),
        )


def _hits(shard: int) -> tuple[messages.Hit, ...]:
    return tuple(
        messages.Hit(f"a-{shard:03}-{number:02}", float(number), HIT_BODY)
        for number in range(HITS_PER_REPLY)
    )
