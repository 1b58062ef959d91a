"""Stand-in and daemon processes of one deployment, for the demo, benchmarks and tests."""

from __future__ import annotations

import json
import signal
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self

import urllib3
import yaml

from .behaviour import Control
from .data import Dataset, Layout
from .deployments import build_document
from .fleet_plan import (
    Daemon,
    FleetOptions,
    Server,
    daemon_settings,
    placeholder_addresses,
    server_specs,
    servers_file,
)
from .listener import reserve_port
from .platform import PlatformControl
from .processes import ChildProcess, FleetError, stop_all
from .search import Hit, direct_answer

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterable, Sequence

    from .behaviour import ServerSpec

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
CALL_TIMEOUT_S = 10.0
FIRST_SNAPSHOT = 1
STOP_GRACE_S = 8.0
"""Time that daemons get to exit by themselves before they are killed."""


class Fleet:
    """The processes of one deployment, stopped when the context exits.

    ::

        with Fleet(FleetOptions(deployment="quito", daemons=3)) as fleet:
            fleet.control("precedents-07-a", straggler_share=0.2)
            fleet.kill("m-2", signal.SIGSTOP)
            fleet.journals()
    """

    def __init__(self, options: FleetOptions | None = None) -> None:
        self.options = options or FleetOptions()
        self.data = Dataset(self.options.seed)
        self.revision = 0
        self.servers: dict[str, Server] = {}
        self.daemons: dict[str, Daemon] = {}
        self.platform_address = ""
        self.snapshots: dict[str, dict[int, int]] = {}
        """Number of shards of each snapshot, by index."""
        self._http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)
        self._children: list[ChildProcess] = []
        self._port_reservations: list[socket.socket] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="marigoldwalk-fleet-")
        self.folder = Path(self._temporary.name)

    def __enter__(self) -> Self:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start all processes and wait until each daemon is ready; raises ``FleetError``."""
        self._start_platform()
        self._start_servers()
        self.publish()
        self._configure_daemons()
        self.set_instances()
        for name in self.daemons:
            self.start_daemon(name)
        self.wait_ready(self.daemons)

    def stop(self) -> None:
        """Stop all processes and release ports and files."""
        daemons = [daemon.process for daemon in self.daemons.values() if daemon.process]
        stop_all(daemons, STOP_GRACE_S)
        stop_all([child for child in self._children if child not in daemons])
        for reservation in self._port_reservations:
            reservation.close()
        self._http.clear()
        self._temporary.cleanup()

    def children(self) -> list[ChildProcess]:
        """Return all processes started so far, including ended ones."""
        return list(self._children)

    def document(self, revision: int, **changes: Any) -> str:
        """Return the deployment's document, with top-level fields replaced by *changes*."""
        addresses = {name: server.address for name, server in self.servers.items()}
        text = build_document(self.options.deployment, revision, addresses.__getitem__)
        if changes:
            text = yaml.safe_dump({**yaml.safe_load(text), **changes}, sort_keys=False)
        return text

    def publish(self, **changes: Any) -> int:
        """Publish the next revision of the document and return its number."""
        self.revision += 1
        self.control_platform(publish=self.document(self.revision, **changes))
        return self.revision

    def exclude(self, *selectors: str) -> int:
        """Publish a revision that excludes only the servers that *selectors* match."""
        exclusions = [{"select": select, "reason": "planned"} for select in selectors]
        return self.publish(exclusions=exclusions)

    def control_platform(self, **fields: Any) -> None:
        """Send a control request to the platform; see ``PlatformControl`` for the fields."""
        change = PlatformControl(**fields)
        self._post(self.platform_address, "/control", change.model_dump_json(exclude_unset=True))

    def platform_calls(self) -> dict[str, int]:
        """Return the number of calls to the platform, by path."""
        return self.get_json(self.platform_address, "/calls")

    def set_instances(self, without: Iterable[str] = (), leaving: Iterable[str] = ()) -> None:
        """Set the platform's instance list: all daemons except *without*, with *leaving* marked."""
        absent, leaving_names = set(without), set(leaving)
        instances = [
            {
                "name": daemon.name,
                "address": self.listed_address(daemon),
                "domain": daemon.domain,
                "leaving": daemon.name in leaving_names,
            }
            for daemon in self.daemons.values()
            if daemon.name not in absent
        ]
        self.control_platform(instances=instances)

    def listed_address(self, daemon: Daemon) -> str:
        """Return the address of *daemon* in the instance list, where other daemons reach it."""
        return daemon.peer_address

    def platform_address_for(self, daemon: Daemon) -> str:
        """Return the address at which *daemon* reaches the platform."""
        return self.platform_address

    def control(self, name: str, **fields: Any) -> None:
        """Send a control request to the server *name*; see ``Control`` for the fields."""
        server = self.servers[name]
        change = Control(**fields).model_dump_json(exclude_unset=True)
        self._post(server.control_address, f"/{name}/control", change)

    def control_all(self, **fields: Any) -> None:
        """Send a control request to all servers."""
        change = Control(**fields).model_dump_json(exclude_unset=True)
        for address in self._control_addresses():
            self._post(address, "/control", change)

    def set_snapshots(self, index: str, shard_counts: dict[int, int]) -> None:
        """Set the snapshots of the servers of *index*, each with its number of shards."""
        self.snapshots[index] = dict(shard_counts)
        for server in self.servers.values():
            if server.index == index:
                self.control(server.name, snapshots=shard_counts)

    def journals(self, after: float = 0.0) -> dict[str, dict[str, Any]]:
        """Return each server's journal; ``received`` counts arrivals later than *after*."""
        journals: dict[str, dict[str, Any]] = {}
        for address in self._control_addresses():
            journals.update(self.get_json(address, f"/journals?after={after!r}"))
        return journals

    def received_in(self, domain: str, after: float) -> int:
        """Return how many subrequests the servers of *domain* received later than *after*."""
        journals = self.journals(after)
        names = [server.name for server in self.servers.values() if server.domain == domain]
        return sum(journals[name]["received"] for name in names)

    def executions(self) -> dict[str, int]:
        """Return the number of runs started for each request id, over all servers."""
        totals: dict[str, int] = {}
        for journal in self.journals().values():
            for request_id, count in journal["executions"].items():
                totals[request_id] = totals.get(request_id, 0) + count
        return totals

    def server_pids(self) -> list[int]:
        """Return the ids of the processes that run the backend servers."""
        server_children = [child for child in self._children if child.name.startswith("servers-")]
        return [child.pid for child in server_children]

    def kill(self, name: str, signum: int = signal.SIGKILL) -> None:
        """Send a signal to the daemon *name*, SIGKILL by default."""
        daemon = self.daemons[name]
        if daemon.process is None:
            raise FleetError(f"daemon {name} was not started")
        daemon.process.send_signal(signum)

    def start_daemon(self, name: str) -> None:
        """Start the daemon *name*, or start it again after it has ended."""
        daemon = self.daemons[name]
        arguments = ["marigoldwalk", "serve", "--settings", str(daemon.settings_path)]
        daemon.process = ChildProcess(name, arguments, self.folder)
        self._children.append(daemon.process)

    def wait_ready(self, names: Iterable[str], timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the daemons *names* are ready; raises ``FleetError`` after *timeout_s*."""
        deadline = time.monotonic() + timeout_s
        for name in names:
            daemon = self.daemons[name]
            while not self.is_ready(name):
                process = daemon.process
                if process is None or not process.running() or time.monotonic() > deadline:
                    tail = process.log_tail() if process else ""
                    raise FleetError(f"daemon {name} did not become ready:\n{tail}")
                time.sleep(READY_POLL_S)

    def is_ready(self, name: str) -> bool:
        """Return whether the daemon *name* reports that it is ready for callers."""
        try:
            reply = self._http.request("GET", f"http://{self.daemons[name].caller_address}/ready")
        except urllib3.exceptions.HTTPError:
            return False
        return reply.status == 200

    def direct_answer(
        self,
        index: str,
        snapshot: int,
        body: dict[str, Any],
        limit: int,
        shards: Sequence[int] | None = None,
    ) -> list[Hit]:
        """Compute an answer without any server; see ``search.direct_answer``."""
        layout = Layout(index, snapshot, self.snapshots[index][snapshot])
        return direct_answer(self.data, layout, body, limit, shards)

    def get_json(self, address: str, path: str) -> Any:
        """Return the JSON reply to a GET request."""
        return self._http.request("GET", f"http://{address}{path}").json()

    def _start_platform(self) -> None:
        child = self._start_standin("platform", ["serve-platform"])
        self.platform_address = child.read_message()["platform"]

    def _start_servers(self) -> None:
        text = build_document(self.options.deployment, 1, placeholder_addresses())
        entries = yaml.safe_load(text)["servers"]
        specs = server_specs(entries)
        self.snapshots = {spec.index: {FIRST_SNAPSHOT: spec.service_count} for spec in specs}
        started = []
        for number in range(self.options.server_processes):
            path = self.folder / f"servers-{number}.json"
            own = specs[number :: self.options.server_processes]
            path.write_text(json.dumps(servers_file(own, self.snapshots, self.options)))
            arguments = ["serve-servers", "--spec", str(path)]
            started.append(self._start_standin(f"servers-{number}", arguments))
        domains = {entry["name"]: entry["domain"] for entry in entries}
        for child in started:
            self._add_servers(child.read_message(), specs, domains)
        if self.options.warm:
            self.control_all(warm=True)

    def _add_servers(
        self, message: dict[str, Any], specs: Sequence[ServerSpec], domains: dict[str, str]
    ) -> None:
        for spec in specs:
            address = message["servers"].get(spec.name)
            if address is not None:
                self.servers[spec.name] = Server(
                    spec.name,
                    spec.index,
                    spec.service,
                    domains[spec.name],
                    spec.slots,
                    address,
                    message["control"],
                )

    def _configure_daemons(self) -> None:
        domains = sorted({server.domain for server in self.servers.values()})
        for number in range(1, self.options.daemons + 1):
            name = f"m-{number}"
            daemon = Daemon(
                name,
                domains[number % len(domains)],
                self._reserve_address(),
                self._reserve_address(),
                self._reserve_address(),
                self.folder / f"{name}.yaml",
            )
            settings = daemon_settings(daemon, self.platform_address_for(daemon), self.options)
            daemon.settings_path.write_text(yaml.safe_dump(settings))
            self.daemons[name] = daemon

    def _reserve_address(self) -> str:
        reservation = reserve_port()
        self._port_reservations.append(reservation)
        host, port = reservation.getsockname()
        return f"{host}:{port}"

    def _start_standin(self, name: str, arguments: Sequence[str]) -> ChildProcess:
        child = ChildProcess(name, ["standins", *arguments], self.folder)
        self._children.append(child)
        return child

    def _control_addresses(self) -> list[str]:
        return sorted({server.control_address for server in self.servers.values()})

    def _post(self, address: str, path: str, body: str) -> None:
        reply = self._http.request("POST", f"http://{address}{path}", body=body)
        if reply.status != 200:
            raise FleetError(f"POST {path} returned status {reply.status}: {reply.data.decode()}")
