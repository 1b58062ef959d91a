"""Plain fan-out that the tier is compared with: ``python -m bench.baseline PLATFORM``.

It has the same caller interface as the daemons and sends one subrequest directly to a random
replica of each service. It has no limits, priorities, hedges, retries or health checks: it waits
for replies until the deadline and merges those that arrived. It reads the configuration once, at
startup.
"""

from __future__ import annotations

import json
import random
import sys
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import bottle
import gevent
import urllib3
from cyclopts import App
from gevent.fileobject import FileObjectPosix

from marigoldwalk.config.acceptance import Rejected, accept
from marigoldwalk.core.actions import AnswerCaller, SendSubrequest
from marigoldwalk.core.events import ReplyState
from marigoldwalk.core.parameters import Parameters
from marigoldwalk.core.peer_messages import MissingShard
from marigoldwalk.core.strategies.merging import merges
from marigoldwalk.daemon.answer_format import answer_response, refusal_answer
from marigoldwalk.daemon.backend_messages import read_reply, subrequest_body
from marigoldwalk.daemon.query_model import read_query
from marigoldwalk.errors import Code, Execution, Missing, Refusal
from marigoldwalk.util.gevent_pool import GeventConnectionPool
from standins.fleet import FIRST_SNAPSHOT
from standins.listener import Listener

if TYPE_CHECKING:
    from marigoldwalk.config.view import Group, Server, View
    from marigoldwalk.core.events import QueryReceived, ServerReply

app = App(name="baseline", help="Serve callers with a plain fan-out.")

CALLER_MARGIN_S = Parameters().caller_margin_s
MAX_IDLE_CONNECTIONS = 4
_HEADERS = {"Content-Type": "application/json"}


@dataclass(frozen=True, slots=True)
class Fanout:
    """A query in progress, with one greenlet per shard."""

    received: QueryReceived
    group: Group
    deadline: float
    greenlets: dict[int, gevent.Greenlet]


class Baseline:
    """Serves callers' queries over HTTP by a plain fan-out."""

    def __init__(self, view: View) -> None:
        self.app = bottle.Bottle()
        self.app.post("/query", callback=self._query)
        self.app.get("/ready", callback=lambda: {"ready": True})
        self._view = view
        self._replicas = {group.name: _replicas_by_shard(view, group) for group in view.groups}
        self._pools = {server.name: _pool(server) for server in view.servers}
        self._random = random.Random(1)
        self._last_attempt = 0

    def _query(self) -> bottle.HTTPResponse:
        started = time.time()
        received = read_query(bottle.request.environ["wsgi.input"].read(), 0)
        if isinstance(received, Refusal):
            return answer_response(refusal_answer(received), "baseline", closing=False)
        fanout = self._send(received, started)
        gevent.joinall(list(fanout.greenlets.values()), fanout.deadline - time.time())
        answer = _answer(fanout, time.time() - started)
        gevent.killall(list(fanout.greenlets.values()), block=False)
        return answer_response(answer, "baseline", closing=False)

    def _send(self, received: QueryReceived, started: float) -> Fanout:
        group = self._view.group_by_name[received.group]
        deadline_s = (received.deadline_ms or group.deadline_ms) / 1000 - CALLER_MARGIN_S
        fanout = Fanout(received, group, started + deadline_s, {})
        for shard, replicas in self._replicas[group.name].items():
            server = self._random.choice(replicas)
            fanout.greenlets[shard] = gevent.spawn(self._query_server, fanout, shard, server)
        return fanout

    def _query_server(self, fanout: Fanout, shard: int, server: Server) -> ServerReply | None:
        """Return the reply of one server, or ``None`` if it sent no complete reply."""
        self._last_attempt += 1
        action = _subrequest(fanout, shard, server, self._last_attempt)
        body = subrequest_body(action, f"baseline:{action.attempt}", fanout.deadline - time.time())
        try:
            response = self._pools[server.name].urlopen(
                "POST", "/search", body=body, headers=_HEADERS, retries=False
            )
            return read_reply(response.data, action.attempt)
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            return None


def _replicas_by_shard(view: View, group: Group) -> dict[int, list[Server]]:
    services: dict[str, list[Server]] = {}
    for server in view.servers:
        if server.name in group.servers:
            services.setdefault(server.service, []).append(server)
    return {shard: services[name] for shard, name in enumerate(sorted(services))}


def _pool(server: Server) -> GeventConnectionPool:
    address = server.address
    return GeventConnectionPool(address.host, address.port, maxsize=MAX_IDLE_CONNECTIONS)


def _subrequest(fanout: Fanout, shard: int, server: Server, attempt: int) -> SendSubrequest:
    return SendSubrequest(
        attempt,
        server.name,
        server.address,
        fanout.group.name,
        server.index,
        FIRST_SNAPSHOT,
        (shard,),
        fanout.received.body,
        fanout.received.limit or fanout.group.limit,
        "",
        fanout.deadline,
    )


def _answer(fanout: Fanout, elapsed_s: float) -> AnswerCaller:
    replies = {shard: _reply(greenlet) for shard, greenlet in fanout.greenlets.items()}
    done = [reply for reply in replies.values() if reply is not None]
    missing = [shard for shard, reply in replies.items() if reply is None]
    hits = [hit for reply in done for hit in reply.hits]
    group = fanout.group
    coverage = len(done) / len(replies)
    return AnswerCaller(
        0,
        _code(coverage, group.min_coverage),
        "",
        Execution.RAN,
        group.name,
        group.index,
        FIRST_SNAPSHOT,
        len(replies),
        len(done),
        tuple(MissingShard(shard, Missing.DEADLINE) for shard in missing),
        merges.get(group.merge)(hits, fanout.received.limit or group.limit),
        0.0,
        elapsed_s,
        len(replies),
    )


def _reply(greenlet: gevent.Greenlet) -> ServerReply | None:
    reply = greenlet.value if greenlet.successful() else None
    return reply if reply is not None and reply.state is ReplyState.DONE else None


def _code(coverage: float, min_coverage: float) -> Code:
    if coverage == 1.0:
        return Code.OK
    return Code.PARTIAL if coverage and coverage >= min_coverage else Code.DEADLINE_EXCEEDED


@app.default
def main(platform: str) -> None:
    """Read the configuration from the address PLATFORM and serve until standard input closes."""
    published = urllib3.request("GET", f"http://{platform}/configuration").json()
    view = accept(published["text"])
    if isinstance(view, Rejected):
        raise SystemExit("the published configuration is invalid")
    listener = Listener(Baseline(view).app, limit=lambda: 4096)
    listener.open()
    sys.stdout.write(json.dumps({"caller": listener.address}) + "\n")
    sys.stdout.flush()
    FileObjectPosix(sys.stdin.buffer.fileno(), "rb", close=False).read()


if __name__ == "__main__":
    app()
