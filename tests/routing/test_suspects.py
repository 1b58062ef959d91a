"""Load pattern: a request that crashes each server that executes it is repeated by its caller."""

from __future__ import annotations

import random

from marigoldwalk.routing.exchanges import ErrorAnswer
from marigoldwalk.routing.suspects import CRASH_CONFIRMATION_S, EVIDENCE_TTL_S, Evidence, Suspects

from .simulation import REFUSED, RESET, Simulation, single_route


def crash(suspects, fingerprint, server_id, now):
    suspects.record_loss(fingerprint, server_id, now)
    suspects.record_unreachable(server_id, now + 0.1)


def test_content_is_refused_after_it_has_crashed_three_servers():
    suspects = Suspects()
    for number in range(3):
        assert not suspects.is_refused("f", 1.0)
        crash(suspects, "f", f"i-{number}", 1.0)
    assert suspects.is_refused("f", 1.5)
    assert not suspects.is_refused("other", 1.5)
    assert not suspects.is_refused("f", 2.0 + EVIDENCE_TTL_S)


def test_repeated_crashes_of_a_server_count_once():
    suspects = Suspects()
    for now in range(5):
        crash(suspects, "f", "i-1", float(now))
    assert not suspects.is_refused("f", 5.0)


def test_a_refusal_long_after_a_broken_connection_proves_no_crash():
    suspects = Suspects()
    for number in range(9):
        suspects.record_loss("f", f"i-{number}", 1.0)
        suspects.record_unreachable(f"i-{number}", 1.0 + 2 * CRASH_CONFIRMATION_S)
    assert not suspects.is_refused("f", 5.0)


def test_evidence_of_several_daemons_is_merged():
    suspects = Suspects()
    crash(suspects, "f", "i-1", 1.0)
    suspects.merge([Evidence("f", ("i-1", "i-2")), Evidence("f", ("i-3",))], 2.0)
    assert suspects.is_refused("f", 2.0)
    assert suspects.evidence(2.0) == [Evidence("f", ("i-1", "i-2", "i-3"))]


class CrashingServers:
    """Servers that go down for two seconds whenever they execute the content."""

    def __init__(self):
        self.down_until = {}
        self.crashes = 0

    def answer(self, server_id):
        def answer(now):
            if now < self.down_until.get(server_id, 0.0):
                return 0.001, REFUSED
            self.down_until[server_id] = now + 2.0
            self.crashes += 1
            return 0.005, RESET

        return answer


def test_a_request_that_crashes_servers_is_no_longer_sent():
    crashing = CrashingServers()
    servers = {f"i-{n}": ("s-1", "north", crashing.answer(f"i-{n}")) for n in range(6)}
    simulation = Simulation([single_route()], servers)
    draw = random.Random(1)
    for number in range(60):
        simulation.ask(request_id=f"q-{number}", fingerprint="poison")
        simulation.run(draw.uniform(0.1, 0.5))
    simulation.run(3.0)
    assert crashing.crashes <= 3 + 2 * 2
    refused = [a for a in simulation.answers.values() if isinstance(a, ErrorAnswer)]
    assert refused[-1].status == 503
