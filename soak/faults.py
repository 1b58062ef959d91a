"""The kinds of faults, in a registry.

Plans draw from the sorted names of the registry, so renaming a kind can change the plan of every
seed.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent

from marigoldwalk.routing.era_change import SETTLE_S
from marigoldwalk.util.registry import Registry

from .deployment import DOMAINS, SHARD_SETS, SINGLE_SERVICES
from .journal import EVERYTHING, Disturbance
from .relay import LinkState
from .servers import FailureMode

if TYPE_CHECKING:
    from collections.abc import Callable

    from .daemons import Daemon
    from .deployment import Deployment
    from .journal import Journal
    from .plan import PlannedFault
    from .servers import Server

LINGER_S = 0.6
"""Time for which a draining server still serves after ``DRAIN_S``."""
DRAIN_S = 3.0
UNREADABLE_ENTRIES = (
    b"[" * 2000,
    b'{"service":' * 2000,
    b'{"slots": ' + b"9" * 5000 + b"}",
    b'{"cold-left-ms": 1e999}',
    b'{"address": "127.0.0.1:70000"}',
    b"\xff\xfe",
    b"",
)
"""Entries that other writers leave in the store."""
READ_S = 0.5
"""Time in which the daemons read a change."""
RESHARD_LEAD_S = 2.5
"""Time from the start of a new set of shards to the configuration that routes to it."""


@dataclass
class FaultContext:
    """The deployment, daemons and journal on which faults act."""

    deployment: Deployment
    daemons: list[Daemon]
    journal: Journal
    now: Callable[[], float]

    def record_disturbance(self, name: str, kind: str, duration_s: float) -> None:
        """Record that a fault affects *name* for *duration_s* from now."""
        now = self.now()
        self.journal.disturbances.append(Disturbance(name, kind, now, now + duration_s))


Injector = "Callable[[FaultContext, PlannedFault, random.Random], None]"

faults: Registry[Injector] = Registry("fault")


def inject(context: FaultContext, fault: PlannedFault) -> None:
    """Inject one fault."""
    faults.get(fault.kind)(context, fault, random.Random(fault.target_seed))


@faults.register("kill")
def kill(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Kill a daemon."""
    rng.choice(context.daemons).kill()


@faults.register("herd_kill")
def herd_kill(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Kill half of the daemons, or all, at once."""
    count = rng.choice((len(context.daemons) // 2, len(context.daemons)))
    for daemon in rng.sample(context.daemons, count):
        daemon.kill()


@faults.register("pause")
def pause(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Pause a daemon."""
    rng.choice(context.daemons).pause(fault.duration_s)


@faults.register("stop")
def stop(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Stop a daemon gracefully."""
    rng.choice(context.daemons).stop()


@faults.register("reload")
def reload(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Make two daemons reload their settings."""
    for daemon in rng.sample(context.daemons, 2):
        daemon.reload()


@faults.register("store_fails")
def store_fails(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Make the store reject requests, leave them unanswered or send malformed responses."""
    store = context.deployment.store
    store.failure = rng.choice(("busy", "silent", "cut", "list", "no revision"))
    context.record_disturbance(EVERYTHING, f"store {store.failure}", fault.duration_s)
    gevent.spawn_later(fault.duration_s, setattr, store, "failure", None)


@faults.register("other_writer")
def other_writer(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Leave an entry that cannot be read among those of the servers; nothing may depend on it."""
    store = context.deployment.store
    key = f"servers/other-{rng.randrange(3)}"
    store.put(key, rng.choice(UNREADABLE_ENTRIES))
    gevent.spawn_later(fault.duration_s, store.delete, key)


@faults.register("store_compacts")
def store_compacts(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Compact the store's history, while serializable reads lag some changes behind."""
    store = context.deployment.store
    store.lag = min(rng.choice((0, 3, 12)), len(store.history))
    gevent.spawn_later(fault.duration_s, setattr, store, "lag", 0)
    store.compact()


@faults.register("store_restored")
def store_restored(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Restore the store from a copy; its writers write again a little later."""
    context.record_disturbance(EVERYTHING, "store restored", SETTLE_S)
    context.deployment.restore_store(rng.randint(1, 8), rng.uniform(0.3, 2.0))


@faults.register("store_link")
def store_link(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Delay or block one daemon's link to the store."""
    daemon = rng.choice(context.daemons)
    state = rng.choice((LinkState.DELAYED, LinkState.BLOCKED, LinkState.REPLIES_BLOCKED))
    daemon.store_link.set_state(state)
    context.record_disturbance(daemon.name, f"store link {state.value}", fault.duration_s)
    gevent.spawn_later(fault.duration_s, daemon.store_link.set_state, LinkState.HEALTHY)


@faults.register("store_reset")
def store_reset(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Reset one daemon's connections to the store."""
    daemon = rng.choice(context.daemons)
    context.record_disturbance(daemon.name, "store reset", 0.0)
    daemon.store_link.reset_connections()


@faults.register("server_link")
def server_link(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Delay or block the links to some servers."""
    state = rng.choice((LinkState.DELAYED, LinkState.BLOCKED, LinkState.REPLIES_BLOCKED))
    for server in _choose_servers(context, rng):
        server.relay.set_state(state)
        context.record_disturbance(server.name, f"link {state.value}", fault.duration_s)
        gevent.spawn_later(fault.duration_s, server.relay.set_state, LinkState.HEALTHY)


@faults.register("server_reset")
def server_reset(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Reset all connections to some servers, idle ones among them."""
    for server in _choose_servers(context, rng):
        server.relay.reset_connections()


@faults.register("server_crash")
def server_crash(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Crash some servers; they restart cold, with a new id."""
    for server in _choose_servers(context, rng):
        if server.is_running:
            old_id = server.server_id
            server.crash()
            gevent.spawn_later(fault.duration_s, _restart_server, context, server, old_id)


@faults.register("server_mode")
def server_mode(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Put some servers into a failure mode."""
    mode = rng.choice([mode for mode in FailureMode if mode is not FailureMode.HEALTHY])
    for server in _choose_servers(context, rng):
        server.mode = mode
        gevent.spawn_later(fault.duration_s, setattr, server, "mode", FailureMode.HEALTHY)


@faults.register("server_replaced")
def server_replaced(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Drain some servers, which then restart with a new id."""
    for server in _choose_servers(context, rng):
        _drain_and_replace(context, server)


@faults.register("server_restarted_in_the_past")
def server_restarted_in_the_past(
    context: FaultContext, fault: PlannedFault, rng: random.Random
) -> None:
    """Restart some servers under their ids with their clocks set back; they drain soon after."""
    servers = [s for s in _choose_servers(context, rng) if s.is_running and not s.is_draining]
    for server in servers:
        server.crash()
        server.start_in_the_past()
        context.deployment.register(server)
    gevent.sleep(READ_S)
    for server in servers:
        _drain_and_replace(context, server)


@faults.register("domain_out")
def domain_out(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Exclude a failure domain for some time."""
    domain = rng.choice(DOMAINS)
    if any(name == domain and end == float("inf") for name, _, end in context.journal.exclusions):
        return
    context.deployment.exclude(domain)
    gevent.spawn_later(fault.duration_s + 3.0, context.deployment.readmit, domain)


@faults.register("configuration")
def configuration(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Publish one version of the configuration, or four in quick succession."""
    for _ in range(rng.choice((1, 1, 4))):
        if rng.random() < 0.5:
            context.deployment.switch_read_service()
        context.deployment.publish()
        gevent.sleep(rng.uniform(0.0, 0.2))


@faults.register("reshard")
def reshard(context: FaultContext, fault: PlannedFault, rng: random.Random) -> None:
    """Move the index to the other set of shards, then drain and remove the old set.

    The old set drains only after every daemon must have the new configuration in force.
    """
    deployment = context.deployment
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
        if server.service in deployment.shards(old) and server.is_running:
            server.is_draining = True
            deployment.register(server)
    gevent.sleep(DRAIN_S + LINGER_S)
    deployment.remove_servers(deployment.shards(old))


def _choose_servers(context: FaultContext, rng: random.Random) -> list[Server]:
    """Return one server, a fifth of all servers, or one replica of each shard."""
    servers = context.deployment.servers
    selection = rng.choice(("one", "some", "replicas"))
    if selection == "one":
        return [rng.choice(servers)]
    if selection == "some":
        return rng.sample(servers, max(1, len(servers) // 5))
    by_service = {s.service: s for s in servers if s.service not in SINGLE_SERVICES}
    return list(by_service.values())


def _restart_server(context: FaultContext, server: Server, old_id: str) -> None:
    """Restart a crashed server, unless it has been removed from the deployment meanwhile."""
    if server in context.deployment.servers and not server.is_running:
        context.deployment.unregister(old_id)
        server.start()
        context.deployment.register(server)


def _drain_and_replace(context: FaultContext, server: Server) -> None:
    """Let a server drain, unless it does so already or is down, and replace it afterwards."""
    if server.is_running and not server.is_draining:
        server.is_draining = True
        context.deployment.register(server)
        gevent.spawn_later(DRAIN_S + LINGER_S, _replace_server, context, server)


def _replace_server(context: FaultContext, server: Server) -> None:
    """Stop a drained server and restart it."""
    if server in context.deployment.servers and server.is_running and server.is_draining:
        old_id = server.server_id
        server.crash()
        _restart_server(context, server, old_id)
