import asyncio, sys, time, random, os
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
import rig

DELAY = float(os.environ.get("DELAY", "1.5"))
RATE = float(os.environ.get("RATE", "1.0"))
OTHERS = float(os.environ.get("OTHERS", "7"))
NB = int(os.environ.get("NB", "2"))
DOWN = 3.0


class B(rig.Backend):
    gen = 0
    arrivals = []
    crashes = []

    async def up(self, store):
        self.store = store
        self.writers = set()
        self.crashing = False
        if self.gen == 0:
            await self.start()
            self.host, self.port = self.address.split(":")
        else:
            self._server = await asyncio.start_server(self._serve, rig.HOST, int(self.port))
        self.base = getattr(self, "base", self.name)
        self.name = f"{self.base}-{self.gen}"
        e = self.entry()
        e["born"] = int(time.time() * 1000)
        store.put(f"servers/{self.name}", e)

    async def crash(self):
        if self.crashing:
            return
        self.crashing = True
        B.crashes.append(time.monotonic())
        self._record.write("crash", backend=self.name)
        old = self.name
        self._server.close()
        for w in list(self.writers):
            w.transport.abort()

        async def later():
            await asyncio.sleep(3.6)
            self.store.delete(f"servers/{old}")

        asyncio.ensure_future(later())
        await asyncio.sleep(DOWN)
        self.gen += 1
        await self.up(self.store)

    async def _serve(self, reader, writer):
        if self.crashing:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def _reply(self, line, headers, body):
        req = headers.get(rig.REQUEST_ID, "")
        if "/deadly" in line and headers.get(rig.EXPECT, self.name) == self.name:
            B.arrivals.append((time.monotonic(), req))
            self._record.write("deadly.arrives", request=req, backend=self.name)

            async def c():
                await asyncio.sleep(DELAY)
                await self.crash()

            asyncio.ensure_future(c())
            await asyncio.sleep(60)
        return await super()._reply(line, headers, body)


async def case(record, directory, daemons, tr):
    store = rig.Store(record)
    await store.start()
    bs = []
    for i in range(NB):
        b = B(f"i-{i}", "intake", f"zone-{'abc'[i%3]}", record, work_s=lambda: 0.16)
        await b.up(store)
        bs.append(b)
    store.put(
        "op/config",
        rig.config(
            1, [rig.route("f", "/fetch/", "intake")], [{"name": "intake", "max-connections": 96}]
        ),
    )
    ports = rig.Ports()
    Z = ["a", "a", "a", "b", "b", "c"]
    for i in range(6):
        daemons.append(rig.Daemon(f"m-{i}", f"zone-{Z[i]}", store, directory, ports, record))
    for d in daemons:
        d.seeds = [daemons[0].control, daemons[3].control, daemons[5].control]
    bal = rig.Balancer(daemons, record)
    await rig.start_all(daemons, bal)
    await asyncio.sleep(5)
    tasks = []
    end = time.monotonic() + 40

    async def flow(rate, path, name):
        n = 0
        while time.monotonic() < end:

            async def one(n=n):
                for a in range(2):
                    r = await rig.ask(
                        random.choice(daemons),
                        record,
                        f"{name}{n}-{a}",
                        "GET",
                        "desk.example",
                        path if name == "d" else f"{path}/{n}",
                        6.0,
                    )
                    if r.status == 200:
                        return

            tasks.append(asyncio.ensure_future(one()))
            n += 1
            await asyncio.sleep(random.expovariate(rate))

    await asyncio.gather(flow(RATE, "/fetch/deadly", "d"), flow(OTHERS, "/fetch/x", "o"))
    await asyncio.gather(*tasks)
    third = B.crashes[2] + 4.0 if len(B.crashes) > 2 else None
    late = {r for t, r in B.arrivals if third and t > third}
    print("crashes", len(B.crashes), "deadly arrivals", len(B.arrivals), "late", len(late))
    return 1 if len(late) > 3 else 0


rig.main(case, Path(__file__).resolve().parent)
