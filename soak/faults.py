"""The kinds of faults, each of which a decorator registers."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent

from marigoldwalk.util.registry import Registry

from .deployment import DOMAINS, SHARD_SETS, SINGLE_SERVICES
from .journal import EVERYTHING, Disturbance
from .relay import LinkState
from .servers import Mode

if TYPE_CHECKING:
    from collections.abc import Callable

    from .daemons import Daemon
    from .deployment import Deployment
    from .journal import Journal
    from .plan import PlannedFault
    from .servers import Server

LINGER_S = 0.6
"""Time that a server which drains serves beyond the end of what the store is told of it."""
DRAIN_S = 3.0
RESHARD_LEAD_S = 2.5
"""Time from the start of a new set of shards to the configuration that names it."""


@dataclass
class Scene:
    """What faults strike."""

    deployment: Deployment
    daemons: list[Daemon]
    journal: Journal
    now: Callable[[], float]

    def disturb(self, name: str, kind: str, for_s: float) -> None:
        """Note that a fault is at work on *name* from now on."""
        now = self.now()
        self.journal.disturbances.append(Disturbance(name, kind, now, now + for_s))


Strike = "Callable[[Scene, PlannedFault, random.Random], None]"

faults: Registry[Strike] = Registry("fault")


def strike(scene: Scene, fault: PlannedFault) -> None:
    """Cause one fault."""
    faults.get(fault.kind)(scene, fault, random.Random(fault.draw))


@faults.register("kill")
def kill(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Kill a daemon."""
    rng.choice(scene.daemons).kill()


@faults.register("herd_kill")
def herd_kill(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Kill half of the daemons or all at once."""
    count = rng.choice((len(scene.daemons) // 2, len(scene.daemons)))
    for daemon in rng.sample(scene.daemons, count):
        daemon.kill()


@faults.register("pause")
def pause(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Freeze a daemon."""
    rng.choice(scene.daemons).pause(fault.for_s)


@faults.register("stop")
def stop(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Stop a daemon as planned."""
    rng.choice(scene.daemons).stop()


@faults.register("reload")
def reload(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Tell some daemons to reload."""
    for daemon in rng.sample(scene.daemons, 2):
        daemon.reload()


@faults.register("store_fails")
def store_fails(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Have the store refuse, fall silent or talk nonsense to everybody."""
    store = scene.deployment.store
    store.failure = rng.choice(("busy", "silent", "cut", "list", "no revision"))
    scene.disturb(EVERYTHING, f"store {store.failure}", fault.for_s)
    gevent.spawn_later(fault.for_s, setattr, store, "failure", None)


@faults.register("store_compacts")
def store_compacts(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Have the store forget its history, while reads that may lag are some changes behind."""
    store = scene.deployment.store
    store.lag = min(rng.choice((0, 3, 12)), len(store.history))
    gevent.spawn_later(fault.for_s, setattr, store, "lag", 0)
    store.compact()


@faults.register("store_link")
def store_link(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Harm one daemon's way to the store."""
    daemon = rng.choice(scene.daemons)
    state = rng.choice((LinkState.DELAYED, LinkState.SILENT, LinkState.ANSWERS_CUT))
    daemon.store_link.set(state)
    scene.disturb(daemon.name, f"store link {state.value}", fault.for_s)
    gevent.spawn_later(fault.for_s, daemon.store_link.set, LinkState.WELL)


@faults.register("store_reset")
def store_reset(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Reset one daemon's connections to the store."""
    daemon = rng.choice(scene.daemons)
    scene.disturb(daemon.name, "store reset", 0.0)
    daemon.store_link.reset_connections()


@faults.register("server_link")
def server_link(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Harm the way to some servers."""
    state = rng.choice((LinkState.DELAYED, LinkState.SILENT, LinkState.ANSWERS_CUT))
    for server in _some(scene, rng):
        server.relay.set(state)
        scene.disturb(server.name, f"link {state.value}", fault.for_s)
        gevent.spawn_later(fault.for_s, server.relay.set, LinkState.WELL)


@faults.register("server_reset")
def server_reset(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Reset all connections to some servers, idle ones among them."""
    for server in _some(scene, rng):
        server.relay.reset_connections()


@faults.register("server_crash")
def server_crash(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Crash some servers; they come back cold, under another id."""
    for server in _some(scene, rng):
        if server.is_up:
            old_id = server.server_id
            server.crash()
            gevent.spawn_later(fault.for_s, _return, scene, server, old_id)


@faults.register("server_mode")
def server_mode(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Have some servers misbehave."""
    mode = rng.choice([mode for mode in Mode if mode is not Mode.WELL])
    for server in _some(scene, rng):
        server.mode = mode
        gevent.spawn_later(fault.for_s, setattr, server, "mode", Mode.WELL)


@faults.register("server_replaced")
def server_replaced(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Drain some servers, which then come back under another id."""
    for server in _some(scene, rng):
        if server.is_up and not server.is_draining:
            server.is_draining = True
            scene.deployment.register(server)
            gevent.spawn_later(DRAIN_S + LINGER_S, _replace, scene, server)


@faults.register("domain_out")
def domain_out(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Take a failure domain out of service for some time."""
    domain = rng.choice(DOMAINS)
    if any(name == domain and end == float("inf") for name, _, end in scene.journal.excluded):
        return
    scene.deployment.exclude(domain)
    gevent.spawn_later(fault.for_s + 3.0, scene.deployment.include, domain)


@faults.register("configuration")
def configuration(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Publish one or several versions in quick succession."""
    for _ in range(rng.choice((1, 1, 4))):
        if rng.random() < 0.5:
            scene.deployment.move_reads()
        scene.deployment.publish()
        gevent.sleep(rng.uniform(0.0, 0.2))


@faults.register("reshard")
def reshard(scene: Scene, fault: PlannedFault, rng: random.Random) -> None:
    """Cut the index anew; the old set of shards drains once the new one is due everywhere."""
    deployment = scene.deployment
    old, new = deployment.shard_set, SHARD_SETS[SHARD_SETS[0] == deployment.shard_set]
    if any(server.service in deployment.shards(new) for server in deployment.servers):
        return
    for service in deployment.shards(new):
        deployment.add_servers(service)
    gevent.sleep(RESHARD_LEAD_S)
    deployment.shard_set = new
    deployment.publish()
    gevent.sleep(DRAIN_S)
    for server in deployment.servers:
        if server.service in deployment.shards(old) and server.is_up:
            server.is_draining = True
            deployment.register(server)
    gevent.sleep(DRAIN_S + LINGER_S)
    deployment.remove_servers(deployment.shards(old))


def _some(scene: Scene, rng: random.Random) -> list[Server]:
    """Return one server, some of all, or one copy of each shard."""
    servers = scene.deployment.servers
    how = rng.choice(("one", "some", "copies"))
    if how == "one":
        return [rng.choice(servers)]
    if how == "some":
        return rng.sample(servers, max(1, len(servers) // 5))
    first = {s.service: s for s in servers if s.service not in SINGLE_SERVICES}
    return list(first.values())


def _return(scene: Scene, server: Server, old_id: str) -> None:
    """Start a crashed server again, unless its service was taken away meanwhile."""
    if server in scene.deployment.servers and not server.is_up:
        scene.deployment.unregister(old_id)
        server.start()
        scene.deployment.register(server)


def _replace(scene: Scene, server: Server) -> None:
    """Let a drained server end and come back."""
    if server in scene.deployment.servers and server.is_up and server.is_draining:
        old_id = server.server_id
        server.crash()
        _return(scene, server, old_id)
