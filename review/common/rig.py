"""Stand-ins for the platform's store, backends, the balancer and clients, and daemon processes.

Everything runs on loopback addresses and the real clock. The stand-ins use the standard library
only and live in the process of the script; the daemons are processes of their own, started with
the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
ZONE = "zone-a"

REQUEST_ID = "x-marigoldwalk-request-id"
EXPECT = "x-marigoldwalk-expect-instance"
DEADLINE = "x-marigoldwalk-deadline-ms"
TENANT = "x-marigoldwalk-tenant-id"
STAMP = "X-Marigoldwalk-Response-Stamp"
NOT_RUN = "X-Marigoldwalk-Not-Executed"


class Record:
    """What was sent, answered and run, written to ``record.txt`` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started

    def write(self, event: str, **fields: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")

    def close(self) -> None:
        self._file.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, or ``None`` at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


def encode_reply(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_answer(answer: dict) -> bytes:
    """Return the body of an answer of the store; items are encoded already."""
    parts = []
    for name, value in answer.items():
        if name == "item":
            parts.append(value["json"][1:-1])
        elif isinstance(value, list):
            parts.append(f'"{name}": [' + ", ".join(item["json"] for item in value) + "]")
        else:
            parts.append(f'"{name}": {json.dumps(value)}')
    return ("{" + ", ".join(parts) + "}").encode()


class Store:
    """The platform's store: keys with revisions, paged reads and watches."""

    PAGE = 50
    ANSWER_S = 0.004

    def __init__(self, record: Record) -> None:
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 100
        self._changed = asyncio.Event()
        self._record = record

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def put(self, key: str, value: object) -> None:
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
        self.revision += 1
        text = base64.b64encode(value).decode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": text, "revision": self.revision}
        item |= {"created": created, "lease": 0}
        # Encoded once, since each reader of the store gets it.
        item["json"] = json.dumps(item)
        self.items[key] = item
        self._note(item)

    def delete(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        event = {"key": key, "revision": self.revision, "tombstone": True}
        event["json"] = json.dumps(event)
        self._note(event)

    def _note(self, event: dict) -> None:
        self.events.append(event)
        self._record.write("store.acknowledged", key=event["key"], revision=self.revision)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                target = urlsplit(head[0].split(" ")[1])
                query = {n: v[-1] for n, v in parse_qs(target.query).items()}
                await asyncio.sleep(self.ANSWER_S)
                answer = await self._answer(target.path, query)
                status = 404 if answer is None else 200
                body = encode_answer(answer or {})
                writer.write(encode_reply(status, [("Content-Type", "application/json")], body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> dict | None:
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return item and {"item": item, "current-rev": self.revision}
        if path == "/-/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[: self.PAGE]]
            more = len(keys) > len(page)
            return {"items": page, "has-more": more, "current-rev": self.revision}
        if path == "/-/kv-watch":
            prefix, after = query.get("prefix", ""), int(query["after"])
            end = time.monotonic() + int(query["wait-ms"]) / 1000
            while True:
                found = [
                    e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
                ]
                left = end - time.monotonic()
                if found or left <= 0:
                    return {"events": found, "current-rev": self.revision}
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    pass
        return None


class Backend:
    """A sound backend of one service: slots, a queue, work of random length, whole answers."""

    KEEP_ALIVE_S = 20

    def __init__(self, name: str, service: str, zone: str, record: Record, **options) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.slots = options.get("slots", 3)
        self.queue = options.get("queue", 12)
        self.work_s = options.get("work_s", lambda: 0.02)
        self.spoil = options.get("spoil")
        """Returns how an answer is spoiled, or ``None``."""
        self.runs: list[tuple[str, float, str]] = []
        self.signatures: dict[str, tuple[int, str, bytes]] = {}
        self._record = record
        self._free = asyncio.Semaphore(self.slots)
        self._queued = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def entry(self) -> dict:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000) - 60_000,
        }

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                watch = asyncio.ensure_future(reader.read(1))
                reply = asyncio.ensure_future(self._reply(line, headers, body))
                await asyncio.wait({watch, reply}, return_when=asyncio.FIRST_COMPLETED)
                if not reply.done():
                    # The connection was closed: the work is dropped.
                    reply.cancel()
                    self._record.write("backend.dropped", request=headers.get(REQUEST_ID))
                    return
                watch.cancel()
                await asyncio.gather(watch, return_exceptions=True)
                writer.write(reply.result())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _reply(self, line: str, headers: dict[str, str], body: bytes) -> bytes:
        request = headers.get(REQUEST_ID, "")
        base = [
            ("X-Marigoldwalk-Request-Id", request),
            ("Keep-Alive", f"timeout={self.KEEP_ALIVE_S}"),
        ]
        if headers.get(EXPECT, self.name) != self.name:
            return encode_reply(421, [*base, (NOT_RUN, "1")], b"")
        if self._queued >= self.slots + self.queue:
            self._record.write("backend.rejected", request=request, backend=self.name)
            return encode_reply(503, [*base, (NOT_RUN, "1")], b"")
        self._queued += 1
        try:
            async with self._free:
                self.runs.append((request, time.monotonic(), headers.get(TENANT, "")))
                self._record.write("backend.runs", request=request, backend=self.name)
                await asyncio.sleep(self.work_s())
        finally:
            self._queued -= 1
        answer = f"answer of {self.name} to {request}\n".encode() * 8
        stamp = f"{self.name}.{request}"
        self.signatures[request] = (200, stamp, answer)
        kind = self.spoil() if self.spoil else None
        if kind is not None:
            self._record.write("backend.spoils", request=request, backend=self.name, how=kind)
        if kind == "no-stamp":
            return encode_reply(200, base, b"\x00spoiled\x00" * 16)
        if kind == "encoded":
            coded = [*base, (STAMP, stamp), ("Content-Encoding", "gzip")]
            return encode_reply(200, coded, b"\x1f\x8b\x00spoiled" * 8)
        self._record.write("backend.answers", request=request, backend=self.name, status=200)
        return encode_reply(200, [*base, (STAMP, stamp)], answer)


class Ports:
    """Free loopback ports, kept from other uses until the daemon binds them."""

    def __init__(self) -> None:
        self._guards = []

    def take(self) -> int:
        guard = socket.socket()
        guard.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        guard.bind((HOST, 0))
        self._guards.append(guard)
        return guard.getsockname()[1]


class Daemon:
    """A process of the gateway role of the deploy file."""

    def __init__(self, name, zone, store, folder, ports, record, **settings) -> None:
        self.name, self.zone = name, zone
        self.front, self.ready, self.control = (f"{HOST}:{ports.take()}" for _ in range(3))
        self.admin = f"{HOST}:{ports.take()}"
        self.settings = settings
        self.seeds: list[str] = []
        self._store, self._folder, self._record = store, Path(folder), record
        self.process: asyncio.subprocess.Process | None = None
        self.is_ended = False
        """Whether the case is over, so that no process is started any more."""
        self.term_at: float | None = None
        self.misses, self.in_rotation = 0, False

    async def start(self) -> None:
        if self.is_ended:
            return
        fields = {
            "name": self.name,
            "domain": self.zone,
            "caller_address": self.front,
            "readiness_address": self.ready,
            "peer_address": self.control,
            "admin_address": self.admin,
            "seeds": self.seeds,
            "store_address": self._store.address,
            "cores": 2,
            "cpu_share": 0.537,
            "grace_s": 6,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 52,
            "cold_factor": 1.5,
            "cold_slack": 5,
            "drain_ms": 3000,
        } | self.settings
        path = self._folder / f"{self.name}.yaml"
        lines = ",\n".join(f"{json.dumps(n)}: {json.dumps(v)}" for n, v in fields.items())
        path.write_text("{\n" + lines + "\n}\n", encoding="utf-8")
        env = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env |= {"MARIGOLDWALK_BOOT": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        self._log = open(self._folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "marigoldwalk.platform",
            cwd=ROOT,
            env=env,
            stdout=self._log,
            stderr=self._log,
        )
        self._record.write("daemon.started", daemon=self.name, zone=self.zone)

    def term(self) -> None:
        self.term_at = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        self._record.write("daemon.sigterm", daemon=self.name)

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def check_ready(self) -> bool:
        host, port = self.ready.split(":")
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, TimeoutError):
            return False


class Balancer:
    """The platform's entry: readiness once a second, two misses, and the rule for small rests."""

    def __init__(self, daemons: list[Daemon], record: Record) -> None:
        self.daemons, self._record = daemons, record

    async def run(self) -> None:
        while True:
            await asyncio.gather(*(self._check(d) for d in self.daemons), asyncio.sleep(1.0))

    async def _check(self, daemon: Daemon) -> None:
        before = daemon.in_rotation
        if await daemon.check_ready():
            daemon.misses, daemon.in_rotation = 0, True
        else:
            daemon.misses += 1
            if daemon.misses >= 2:
                daemon.in_rotation = False
        if before != daemon.in_rotation:
            self._record.write("balancer", daemon=daemon.name, in_rotation=daemon.in_rotation)

    def pick(self, zone: str, avoid: Daemon | None = None) -> Daemon:
        local = [d for d in self.daemons if d.zone == zone]
        rotation = [d for d in local if d.in_rotation]
        if not rotation:
            chosen = [d for d in self.daemons if d.in_rotation] or self.daemons
        else:
            chosen = local if len(rotation) < len(local) / 2 else rotation
        others = [d for d in chosen if d is not avoid] or chosen
        return random.choice(others)


class Answer:
    """The outcome of one client attempt."""

    def __init__(self, request: str, daemon: Daemon) -> None:
        self.request, self.daemon = request, daemon
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        self.failure = ""


async def ask(daemon, record, request, method, host, path, deadline_s, body=b"", extra=()):
    """Send one request on a new connection and return its outcome."""
    answer = Answer(request, daemon)
    address, port = daemon.front.split(":")
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(address, int(port))
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        lines += [f"X-Marigoldwalk-Request-Id: {request}"]
        lines += [f"X-Marigoldwalk-Deadline-Ms: {int(deadline_s * 1000)}", *extra]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        answer.sent_at = time.monotonic()
        record.write("client.sent", request=request, daemon=daemon.name)
        async with asyncio.timeout(deadline_s + 1.0):
            head = await read_head(reader)
            if head is None:
                answer.failure = "closed"
            else:
                answer.status = int(head[0].split(" ")[1])
                answer.headers = head[1]
                answer.body = await reader.readexactly(int(head[1].get("content-length", 0)))
    except asyncio.IncompleteReadError:
        answer.failure = "cut"
    except TimeoutError:
        answer.failure = "timeout"
    except OSError as exc:
        answer.failure = f"{'refused' if not answer.sent_at else 'reset'}:{type(exc).__name__}"
    finally:
        if writer is not None:
            writer.close()
    answer.ended_at = time.monotonic()
    status = answer.status or answer.failure
    record.write("client.got", request=request, daemon=daemon.name, answer=status)
    return answer


def route(name: str, prefix: str, service: str, **changes) -> dict:
    fields = {
        "name": name,
        "host": "desk.example",
        "prefix": prefix,
        "route-kind": "safe",
        "timeout-ms": 6000,
        "target-latency-ms": 600,
        "priority": 2,
        "max-attempts": 2,
        "service": service,
    }
    return fields | changes


def config(version: int, routes: list[dict], services: list[dict], **changes) -> dict:
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 262144,
        "header-timeout-ms": 5000,
        "idle-timeout-ms": 30000,
    }
    record = {"version": version, "routes": routes, "services": services, "limits": limits}
    return record | changes


async def start_all(daemons: list[Daemon], balancer: Balancer, timeout_s: float = 20.0) -> None:
    """Start *daemons* and the balancer, and wait until all are in rotation."""
    for daemon in daemons:
        await daemon.start()
    asyncio.ensure_future(balancer.run())
    end = time.monotonic() + timeout_s
    while not all(d.in_rotation for d in daemons):
        if time.monotonic() > end:
            raise RuntimeError("the daemons did not become ready")
        await asyncio.sleep(0.1)


def main(case, folder: Path) -> None:
    """Run *case* and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    random.seed(int(os.environ.get("SEED", "1")))
    status = 2
    with tempfile.TemporaryDirectory(prefix="marigoldwalk-review-") as directory:
        daemons: list[Daemon] = []

        async def run() -> int:
            try:
                async with asyncio.timeout(110):
                    return await case(record, directory, daemons, is_troubled)
            finally:
                for daemon in daemons:
                    daemon.is_ended = True
                await asyncio.gather(*(d.stop() for d in daemons), return_exceptions=True)

        try:
            status = asyncio.run(run())
        except Exception as exc:  # noqa: BLE001 (any failure means that the case could not run)
            record.write("case.failed", why=repr(exc))
            print(f"the case could not run: {exc!r}", file=sys.stderr)
        if "KEEP" in os.environ:
            for path in Path(directory).glob("*.log"):
                (Path(os.environ["KEEP"]) / path.name).write_bytes(path.read_bytes())
    record.write("result", status=status)
    record.close()
    sys.exit(status)
