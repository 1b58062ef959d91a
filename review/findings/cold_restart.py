import asyncio, sys, time, random, os
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
import rig


async def case(record, directory, daemons, tr):
    store = rig.Store(record)
    await store.start()
    bs = []
    for i in range(4):
        b = rig.Backend(
            f"i-{i}", "intake", f"zone-{'abc'[i%3]}", record, work_s=lambda: 0.03, slots=8, queue=50
        )
        await b.start()
        bs.append(b)
        store.put(f"servers/{b.name}", b.entry())
    store.put(
        "op/config",
        rig.config(
            1,
            [rig.route("f", "/fetch/", "intake")],
            [{"name": "intake", "max-connections": 96, "cold-start-s": 8, "cold-per-s": 5}],
        ),
    )
    ports = rig.Ports()
    N = int(os.environ.get("N", "9"))
    for i in range(N):
        daemons.append(rig.Daemon(f"m-{i}", f"zone-{'abc'[i%3]}", store, directory, ports, record))
    for d in daemons:
        d.seeds = [x.control for x in daemons[:3]]
    bal = rig.Balancer(daemons, record)
    await rig.start_all(daemons, bal)
    await asyncio.sleep(4)
    t0 = time.monotonic()
    tasks = []

    async def cold():
        await asyncio.sleep(2)
        for b in bs:
            e = b.entry()
            e["cold-left-ms"] = 12000
            e["sequence"] = 5
            e["born"] = int(time.time() * 1000)
            store.put(f"servers/{b.name}", e)
        await asyncio.sleep(2.5)
        if os.environ.get("TROUBLE", "1") == "1":

            async def k(d):
                await d.stop()
                await asyncio.sleep(0.4 + random.uniform(0, 0.3))
                await d.start()

            await asyncio.gather(*(k(d) for d in daemons))

    c = asyncio.ensure_future(cold())
    n = 0

    async def one(n):
        for a in range(3):
            d = bal.pick(f"zone-{'abc'[n%3]}")
            r = await rig.ask(d, record, f"r{n}-{a}", "GET", "desk.example", "/fetch/1", 2.0)
            if r.status == 200:
                return
            await asyncio.sleep(0.1)

    while time.monotonic() - t0 < 12:
        tasks.append(asyncio.ensure_future(one(n)))
        n += 1
        await asyncio.sleep(random.expovariate(150))
    await asyncio.gather(*tasks)
    await c
    for b in bs:
        ts = sorted(t for _, t, _ in b.runs if t - t0 > 2.3)
        most = max((sum(1 for x in ts if s <= x < s + 1) for s in ts), default=0)
        print(
            b.name,
            most,
            [round(s - t0, 1) for s in ts if sum(1 for x in ts if s <= x < s + 1) == most][:1],
        )
    return 0


rig.main(case, Path(__file__).resolve().parent)
