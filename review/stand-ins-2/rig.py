"""A small deployment on loopback addresses: the project's daemons with stand-ins around them.

The daemons are separate processes, started with the command of ``deploy/system.toml`` and with the
settings of ``deploy/settings.yaml``. The store, the backends and the clients are threads of the
script. Only the standard library is used.
"""

from __future__ import annotations

import base64
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
ID = "X-Marigoldwalk-Request-Id"
STAMP = "X-Marigoldwalk-Response-Stamp"
EXPECT = "X-Marigoldwalk-Expect-Instance"
NOT_RUN = "X-Marigoldwalk-Not-Executed"
DEADLINE = "X-Marigoldwalk-Deadline-Ms"


class Record:
    """The record of what was sent, answered and run; one line for each event."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115 (kept open)
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            line = f"{time.monotonic() - self._start:8.3f} {text}"
            print(line, file=self._file, flush=True)


class Message:
    """An HTTP message as read from a socket."""

    def __init__(self, start: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name: str, default: str = "") -> str:
        """Return the value of the first header *name*."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split()[1])


class Closed(Exception):
    """The connection ended before a message was complete."""


def read_message(stream, is_response: bool = False) -> Message | None:
    """Read one message; ``None`` if the connection ends before its first byte."""
    line = stream.readline()
    if not line:
        return None
    start = line.decode("latin-1").strip()
    headers = []
    while True:
        line = stream.readline()
        if not line.endswith(b"\n"):
            raise Closed("in the head")
        if not line.strip():
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers.append((name, value.strip()))
    message = Message(start, headers, b"")
    length = message.get("Content-Length")
    if length:
        message.body = stream.read(int(length))
        if len(message.body) != int(length):
            raise Closed("in the body")
    elif is_response:
        message.body = stream.read()
    return message


def free_port() -> int:
    """Return a free TCP port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Listener:
    """Accepts connections and serves each in a thread."""

    def __init__(self, port: int = 0) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", port))
        self.sock.listen(256)
        self.port = self.sock.getsockname()[1]
        self.is_open = True
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Address to connect to."""
        return f"127.0.0.1:{self.port}"

    def _accept(self) -> None:
        while self.is_open:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve_quietly, args=(conn,), daemon=True).start()

    def _serve_quietly(self, conn: socket.socket) -> None:
        try:
            self.serve(conn)
        except (OSError, Closed, ValueError):
            pass
        finally:
            conn.close()

    def serve(self, conn: socket.socket) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop accepting."""
        self.is_open = False
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


class Store(Listener):
    """The platform's store: linearizable, with all of its history."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 100
        self.changed = threading.Condition()
        super().__init__()

    def put(self, key: str, value: object) -> None:
        """Write *value* as JSON."""
        self._apply({"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode()})

    def delete(self, key: str) -> None:
        """Remove an item."""
        self._apply({"key": key, "tombstone": True})

    def _apply(self, event: dict) -> None:
        with self.changed:
            self.revision += 1
            event["revision"] = self.revision
            if event.get("tombstone"):
                self.items.pop(event["key"], None)
            else:
                event.update(created=self.revision, lease=0)
                self.items[event["key"]] = event
            self.history.append(event)
            self.changed.notify_all()

    def serve(self, conn: socket.socket) -> None:
        """Answer calls."""
        stream = conn.makefile("rb")
        while (message := read_message(stream)) is not None:
            url = urlsplit(message.start.split()[1])
            query = {k: v[-1] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
            answer = self.answer(url.path, query)
            body = json.dumps(answer).encode()
            status = "200 OK" if answer is not None else "404 Not Found"
            conn.sendall(
                f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            )

    def answer(self, path: str, query: dict[str, str]) -> dict | None:
        """Return the answer to a call, or ``None`` for 404."""
        if path == "/-/kv-range":
            with self.changed:
                keys = sorted(
                    k
                    for k in self.items
                    if k.startswith(query.get("prefix", "")) and k > query.get("after", "")
                )
                return {
                    "items": [self.items[k] for k in keys[:500]],
                    "has-more": len(keys) > 500,
                    "current-rev": self.revision,
                }
        if path == "/-/kv-watch":
            after = int(query["after"])
            until = time.monotonic() + int(query["wait-ms"]) / 1000
            with self.changed:
                while self.revision <= after and (left := until - time.monotonic()) > 0:
                    self.changed.wait(left)
                events = [e for e in self.history if e["revision"] > after]
                return {"events": events, "current-rev": self.revision}
        if path == "/-/kv-key":
            with self.changed:
                return self.items.get(query.get("key", ""))
        return None


class Backend(Listener):
    """A sound backend. Subclasses override :meth:`run` or :meth:`serve`."""

    def __init__(self, record: Record, service: str, server_id: str, work_s: float = 0.02) -> None:
        self.record = record
        self.service = service
        self.server_id = server_id
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.runs: list[str] = []
        super().__init__()

    def entry(self, **changes: object) -> dict:
        """Return the entry in the store."""
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "1",
            "slots": 3,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        return fields | changes

    def serve(self, conn: socket.socket) -> None:
        """Serve the requests of one connection."""
        stream = conn.makefile("rb")
        while (message := read_message(stream)) is not None:
            if not self.answer(conn, message):
                return

    def answer(self, conn: socket.socket, message: Message) -> bool:
        """Run and answer one request; return whether the connection is kept."""
        request_id = message.get(ID)
        if message.get(EXPECT) not in ("", self.server_id):
            self.record(f"{self.server_id} rejects {request_id or '-'} with 421")
            conn.sendall(
                f"HTTP/1.1 421 Misdirected\r\n{ID}: {request_id}\r\n{NOT_RUN}: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        if not request_id:
            self.record(f"{self.server_id} rejects a request without an id: {message.start}")
            conn.sendall(
                f"HTTP/1.1 400 Bad Request\r\n{NOT_RUN}: 1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        self.runs.append(request_id)
        self.record(f"{self.server_id} runs {request_id}: {message.start}, body {message.body!r}")
        time.sleep(self.work_s)
        return self.reply(conn, message, self.stamped(request_id))

    def stamped(self, request_id: str) -> bytes:
        """Return the whole response to a request that has run."""
        body = f"{self.server_id} answers {request_id}".encode()
        return (
            f"HTTP/1.1 200 OK\r\n{ID}: {request_id}\r\n"
            f"{STAMP}: stamp.{self.server_id}.{request_id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )

    def reply(self, conn: socket.socket, message: Message, data: bytes) -> bool:
        """Send the response; return whether the connection is kept."""
        conn.sendall(data)
        return True


def render(template: str, fields: dict) -> str:
    """Return *template* filled in, as ``DEPLOY.md`` describes it (what ``deploy/`` uses of it)."""

    def find(path: str) -> object:
        value: object = fields
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match) -> str:
        return match[2] if find(match[1]) else ""

    def value_of(match: re.Match) -> str:
        value = find(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", value_of, text)


class Daemon:
    """One daemon of the project."""

    def __init__(self, rig: Rig, name: str, zone: str = "zone-a") -> None:
        self.rig = rig
        self.name = name
        self.ports = {key: free_port() for key in ("front", "ready", "control", "admin")}
        self.zone = zone
        self.process: subprocess.Popen | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return "127.0.0.1", self.ports["front"]

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        fields = {
            "node": self.name,
            "zone": self.zone,
            "ip": "127.0.0.1",
            "listen": {k: f"127.0.0.1:{self.ports[k]}" for k in ("front", "ready", "control")},
            "seeds": self.rig.seeds,
            "platform": {"address": self.rig.store.address},
            "limits": {"cores": 2, "cpu-share": 0.537},
            "bounds": {
                "grace-s": 6,
                "retry-budget-ratio": 0.2,
                "budget-window-s": 10,
                "retry-budget-slack": 52,
                "cold-factor": 1.5,
                "cold-slack": 5,
                "drain-ms": 3000,
            },
        }
        template = (ROOT / "deploy" / "settings.yaml").read_text()
        template = template.replace("{{ip}}:7390", f"127.0.0.1:{self.ports['admin']}")
        path = self.rig.folder / f"{self.name}.yaml"
        path.write_text(render(template, fields))
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env |= {"MARIGOLDWALK_BOOT": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        command = ["python3", "-m", "marigoldwalk.platform"]
        with open(self.rig.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.rig.record(f"{self.name} started")

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.rig.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the daemon reports that it is ready."""
        try:
            with socket.create_connection(("127.0.0.1", self.ports["ready"]), 1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in sock.recv(100)
        except OSError:
            return False


class Rig:
    """A store, backends and daemons, with a temporary folder."""

    def __init__(self, case: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(case)
        self.store = Store()
        self.seeds: list[str] = []
        self.daemons: list[Daemon] = []
        self.backends: list[Backend] = []

    def add(self, backend: Backend) -> Backend:
        """Register a backend."""
        self.backends.append(backend)
        self.store.put(f"servers/{backend.server_id}", backend.entry())
        return backend

    def configure(self, version: int, routes: list[dict], services: list[dict]) -> None:
        """Write a configuration."""
        limits = {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 5000,
            "idle-timeout-ms": 20000,
        }
        config = {"version": version, "routes": routes, "services": services, "limits": limits}
        self.store.put("op/config", config)

    def start(self, count: int, zones: tuple[str, ...] = ("zone-a",)) -> None:
        """Start *count* daemons and wait until they are ready."""
        self.daemons = [Daemon(self, f"front-{n}", zones[n % len(zones)]) for n in range(count)]
        self.seeds = [f"127.0.0.1:{d.ports['control']}" for d in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.start()
        until = time.monotonic() + 30
        while not all(daemon.is_ready() for daemon in self.daemons):
            if time.monotonic() > until:
                raise RuntimeError("the daemons are not ready")
            time.sleep(0.1)
        self.record("all daemons are ready")

    def stop(self) -> None:
        """End all processes."""
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        self.store.close()
        for backend in self.backends:
            backend.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def route(prefix: str, **changes: object) -> dict:
    """Return a route of a configuration."""
    fields = {
        "name": f"r{prefix}",
        "host": HOST,
        "prefix": prefix,
        "route-kind": "safe",
        "timeout-ms": 6000,
        "target-latency-ms": 600,
        "priority": 2,
        "max-attempts": 3,
    }
    return fields | changes


def service(name: str, **changes: object) -> dict:
    """Return a service of a configuration."""
    fields = {
        "name": name,
        "max-connections": 96,
        "health-path": "/health",
        "cold-start-s": 3,
        "cold-per-s": 5,
    }
    return fields | changes


def request(method: str, path: str, request_id: str, body: bytes = b"", extra: str = "") -> bytes:
    """Return the bytes of a client's request."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{ID}: {request_id}\r\n{DEADLINE}: 6000\r\n"
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return (head + extra + "\r\n").encode("latin-1") + body


class Client:
    """A client's connection to a daemon."""

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        self.record = record
        self.sock = socket.create_connection(address, 2)
        self.sock.settimeout(8)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.sock.makefile("rb")

    def send(self, data: bytes) -> None:
        """Send the bytes of a request."""
        self.record(f"client sends {data!r}")
        self.sock.sendall(data)

    def receive(self) -> Message | None:
        """Return the next answer; ``None`` if the connection was closed before it."""
        try:
            answer = read_message(self.stream, is_response=True)
        except (OSError, Closed) as exc:
            self.record(f"client gets no complete answer: {exc!r}")
            return None
        if answer is None:
            self.record("client's connection is closed without an answer")
        else:
            self.record(f"client gets {answer.start}, {answer.headers}, body {answer.body!r}")
        return answer

    def ask(self, data: bytes) -> Message | None:
        """Send a request and return its answer."""
        self.send(data)
        return self.receive()

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


def main(play) -> None:
    """Run *play(rig)*, which returns whether the rule held, and exit with its result."""
    case = Path(sys.argv[0]).resolve().parent
    rig = Rig(case)
    try:
        held = play(rig)
        rig.record("the rule held" if held else "the rule was broken")
        status = 0 if held else 1
    except Exception as exc:  # noqa: BLE001 (reported as a case that could not run)
        rig.record(f"the case could not run: {exc!r}")
        print(repr(exc), file=sys.stderr)
        status = 2
    finally:
        rig.stop()
    sys.exit(status)
