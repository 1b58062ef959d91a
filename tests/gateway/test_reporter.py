from __future__ import annotations

import logging
from collections import Counter

from marigoldwalk.gateway.reporter import Reporter
from marigoldwalk.metrics.recorder import Recorder

from ..routing.simulation import SILENT, Simulation, fan_out_route, server_reply

SHARDS = ["s-0", "s-1"]


def missing_of_partial_answer(caplog, servers):
    """Return the ``missing`` log field of a query whose answer lacks shard ``s-0``."""
    simulation = Simulation([fan_out_route(SHARDS, 0.5)], servers)
    exchange = simulation.ask("/all/1")
    simulation.run(1.0)
    caplog.set_level(logging.INFO)
    Reporter(Counter(), Recorder()).answered(exchange, simulation.answers["q-1"], simulation.now)
    [record] = [r for r in caplog.records if r.message == "answer is partial"]
    return record.fields["missing"]


def test_missing_shard_reports_why_it_was_not_sent_again(caplog):
    servers = {"a": ("s-0", "north", (9.9, SILENT)), "c": ("s-1", "north", (0.03, server_reply()))}
    assert missing_of_partial_answer(caplog, servers) == [
        "s-0: the answer left without it (a); not sent again: every server was tried"
    ]


def test_missing_shard_that_was_sent_twice_names_both_servers(caplog):
    servers = {
        "a": ("s-0", "north", (9.9, SILENT)),
        "b": ("s-0", "south", (9.9, SILENT)),
        "c": ("s-1", "north", (0.03, server_reply())),
    }
    assert missing_of_partial_answer(caplog, servers) == ["s-0: the answer left without it (a,b)"]
