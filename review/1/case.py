"""Another writer leaves an unreadable entry in the store, then the configuration changes."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import rig  # noqa: E402 (the path is set above)

ZONES = ("zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c")
HEARTBEAT_S = 1.2
SILENCE_S = 3 * HEARTBEAT_S
"""Time without a heartbeat after which the store removes an entry."""
STAYS = os.environ.get("STAYS", "0") == "1"
"""Whether the other writer goes on writing its entry, so that it stays."""
UNREADABLE = b"[" * 2000
"""An entry that cannot be read: arrays that are opened and never closed."""
CALM_S = 6.0
CHANGE_AFTER_S = 0.2
"""Time from the entry of the other writer to the change of the configuration."""
APPLY_S = 3.0
"""``config-apply-ms``"""
AFTER_S = 12.0
RATE_PER_S = 40.0
DEADLINE_S = 6.0


async def case(record, directory, daemons, is_troubled) -> int:
    store = rig.Store(record)
    await store.start()
    backends = []
    for number in range(14):
        service = ("intake", "followup")[number % 2]
        zone = ("zone-a", "zone-b", "zone-c")[number % 3]
        backend = rig.Backend(f"i-{number}", service, zone, record, work_s=lambda: 0.03)
        await backend.start()
        store.put(f"servers/{backend.name}", backend.entry())
        backends.append(backend)
    services = [{"name": name, "max-connections": 96} for name in ("intake", "followup")]
    store.put("op/config", rig.config(1, [rig.route("fetch", "/fetch/", "intake")], services))
    ports = rig.Ports()
    for number, zone in enumerate(ZONES):
        daemons.append(rig.Daemon(f"m-{number}", zone, store, directory, ports, record))
    for daemon in daemons:
        daemon.seeds = [daemons[0].control, daemons[3].control, daemons[5].control]
    balancer = rig.Balancer(daemons, record)
    await rig.start_all(daemons, balancer)

    answers: list[rig.Answer] = []
    clients: list[asyncio.Task] = []
    acknowledged_at = 0.0
    end = time.monotonic() + CALM_S + AFTER_S

    async def client(number: int) -> None:
        daemon = balancer.pick(("zone-a", "zone-b", "zone-c")[number % 3])
        answers.append(
            await rig.ask(
                daemon, record, f"r{number}", "GET", "desk.example", "/fetch/1", DEADLINE_S
            )
        )

    async def traffic() -> None:
        while time.monotonic() < end:
            clients.append(asyncio.ensure_future(client(len(clients))))
            await asyncio.sleep(random.expovariate(RATE_PER_S))

    async def other_writer() -> None:
        """Write an entry, and once more with each heartbeat if it is to stay."""
        if not is_troubled:
            return
        store.put_bytes("servers/i-other", UNREADABLE)
        while STAYS and time.monotonic() < end:
            await asyncio.sleep(HEARTBEAT_S)
            store.put_bytes("servers/i-other", UNREADABLE)
        if not STAYS:
            await asyncio.sleep(SILENCE_S)
            store.delete("servers/i-other")

    async def operator() -> None:
        nonlocal acknowledged_at
        await asyncio.sleep(CHANGE_AFTER_S)
        routes = [rig.route("fetch", "/fetch/", "followup")]
        store.put("op/config", rig.config(2, routes, services))
        acknowledged_at = time.monotonic()
        record.write("configuration.acknowledged", version=2)

    async def events() -> None:
        await asyncio.sleep(CALM_S)
        await asyncio.gather(other_writer(), operator())

    await asyncio.gather(traffic(), events())
    await asyncio.gather(*clients)
    service_of = {request: backend.service for backend in backends for request, *_ in backend.runs}
    stale = [
        answer
        for answer in answers
        if answer.sent_at > acknowledged_at + APPLY_S and service_of.get(answer.request) == "intake"
    ]
    for answer in stale:
        after_s = round(answer.sent_at - acknowledged_at, 2)
        record.write("CONFIG", request=answer.request, daemon=answer.daemon.name, after_s=after_s)
    latest = max((answer.sent_at - acknowledged_at for answer in stale), default=0.0)
    machines = sorted({answer.daemon.name for answer in stale})
    served = sum(answer.status == 200 for answer in answers)
    text = f"requests {len(answers)}, served {served}, run by the old service too late {len(stale)}"
    print(f"{text}, at {machines}, until {latest:.1f} s after the acknowledgement")
    record.write("judged", stale=len(stale), machines=machines, latest_s=round(latest, 2))
    return 1 if stale else 0


rig.main(case, FOLDER)
