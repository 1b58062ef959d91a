"""Load pattern: a request that crashes each server that executes it is repeated by its caller."""

from __future__ import annotations

import random
from collections import Counter
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldwalk.routing import suspects as suspects_module
from marigoldwalk.routing.exchanges import ErrorAnswer
from marigoldwalk.routing.suspects import (
    CRASH_CONFIRMATION_S,
    EVIDENCE_TTL_S,
    MAX_EVIDENCE_PER_DATAGRAM,
    Crash,
    Evidence,
    Suspects,
)

from .simulation import REFUSED, RESET, Simulation, single_route


def crash(suspects, fingerprint, server, now, service="s-1", occasion=None, is_trial=True):
    record = Crash(server, service, occasion or f"q-{server}-{now}", is_trial)
    suspects.record_loss(fingerprint, server, record, now)
    suspects.record_unreachable(server, now + 0.1)
    suspects.confirm(now + 0.1)


def test_crash_that_may_be_a_loss_of_the_own_links_counts_at_this_daemon_alone():
    suspects = Suspects()
    for number in range(3):
        suspects.record_loss(
            "f", f"i-{number}", Crash(f"i-{number}", "s-1", f"q-{number}", True), 1.0
        )
        suspects.record_unreachable(f"i-{number}", 1.1)
    assert suspects.is_refused("f", 1.2)
    assert suspects.evidence(1.2) == []
    assert not suspects.take_news()
    suspects.withdraw()
    suspects.confirm(1.3)
    assert not suspects.is_refused("f", 1.3)
    assert not suspects.take_news()


def test_content_is_refused_after_it_has_crashed_three_servers():
    suspects = Suspects()
    for number in range(3):
        assert not suspects.is_refused("f", 1.0)
        crash(suspects, "f", f"i-{number}", 1.0)
    assert suspects.is_refused("f", 1.5)
    assert not suspects.is_refused("other", 1.5)
    assert not suspects.is_refused("f", 2.0 + EVIDENCE_TTL_S)


def test_a_crash_that_is_seen_several_times_counts_once():
    suspects = Suspects()
    for number in range(5):
        crash(suspects, "f", "i-1@1000", 1.0 + number * CRASH_CONFIRMATION_S / 5)
    assert not suspects.is_refused("f", 5.0)


def test_crashes_of_a_server_that_restarts_under_its_id_add_up():
    suspects = Suspects()
    for now in range(3):
        crash(suspects, "f", f"i-1@{now}", float(now))
    assert suspects.is_refused("f", 5.0)


def test_crashes_before_the_new_registration_is_known_add_up():
    suspects = Suspects()
    for now in range(0, 9, 3):
        crash(suspects, "f", "i-1@1000", float(now))
    assert suspects.is_refused("f", 9.0)


def test_servers_that_crash_on_one_occasion_count_once():
    suspects = Suspects()
    for number in range(9):
        crash(suspects, "f", f"i-{number}", 1.0, f"s-{number}", "q-1", is_trial=False)
    assert not suspects.is_refused("f", 2.0)
    assert suspects.needs_trial("f", 2.0)
    for number in (10, 11):
        crash(suspects, "f", f"i-{number}", 2.0, f"s-{number}", occasion=f"q-1/{number}")
    assert suspects.is_refused("f", 3.0)


def test_servers_that_fail_together_count_once_whatever_number_of_callers_sent_the_content():
    suspects = Suspects()
    for number in range(9):
        crash(suspects, "f", f"i-{number}", 1.0, f"s-{number}", f"q-{number}", is_trial=False)
    assert suspects.needs_trial("f", 2.0)
    assert not suspects.is_refused("f", 2.0)


def test_crashes_that_are_not_kept_are_counted():
    counters = Counter()
    suspects = Suspects(counters)
    for number in range(5):
        crash(suspects, "f", f"i-{number}", 1.0, f"s-{number}", "q-1", is_trial=False)
    assert suspects.held_count("f", 2.0) + counters["suspect.surplus"] == 5
    assert suspects.crash_count("f", 2.0) == 1


def test_trials_count_after_overlapping_requests_have_crashed_many_servers_together():
    suspects = Suspects()
    for number in range(13):
        now = 1.0 + 0.05 * number
        crash(suspects, "f", f"i-{number}", now, occasion=f"q-{number}", is_trial=False)
    for number in (20, 21):
        assert not suspects.is_refused("f", 5.0)
        crash(suspects, "f", f"i-{number}", 5.0)
    assert suspects.is_refused("f", 6.0)


def test_content_that_runs_elsewhere_is_refused_once_it_has_crashed_three_servers_of_one_shard():
    suspects = Suspects()
    suspects.record_run("f", 1.0)
    for number in range(4):
        crash(suspects, "f", f"i-{number}", 1.0, service=f"s-{number}")
    assert not suspects.is_refused("f", 2.0)
    assert not suspects.needs_trial("f", 2.0)
    for number in range(5, 7):
        crash(suspects, "f", f"i-{number}", 2.0, service="s-0")
    assert suspects.is_refused("f", 3.0)


def test_a_refusal_long_after_a_broken_connection_proves_no_crash():
    suspects = Suspects()
    for number in range(9):
        suspects.record_loss(
            "f", f"i-{number}", Crash(f"i-{number}", "s-1", f"q-{number}", False), 1.0
        )
        suspects.record_unreachable(f"i-{number}", 1.0 + 2 * CRASH_CONFIRMATION_S)
    assert not suspects.is_refused("f", 5.0)


def test_evidence_of_several_daemons_is_merged():
    suspects = Suspects()
    crash(suspects, "f", "i-1", 1.0, occasion="q-1")
    first = Crash("i-1", "s-1", "q-1", True, 0.5)
    second = Crash("i-2", "s-1", "q-2", True, 0.5)
    third = Crash("i-3", "s-1", "q-3", True, 0.5)
    assert suspects.merge([Evidence("f", (first, second)), Evidence("f", (third,))], 2.0) == [
        "f",
        "f",
    ]
    assert suspects.is_refused("f", 2.0)
    assert suspects.merge([Evidence("f", (second,))], 2.0) == []
    assert {crash.server for crash in suspects.evidence(2.0)[0].crashes} == {"i-1", "i-2", "i-3"}


def test_evidence_expires_although_daemons_send_it_back_and_forth():
    first, second = Suspects(), Suspects()
    crash(first, "f", "i-1", 0.0)
    for now in range(1, 3 * int(EVIDENCE_TTL_S), 10):
        second.merge(first.evidence(now), now)
        first.merge(second.evidence(now + 5.0), now + 5.0)
    assert first.evidence(now) == second.evidence(now) == []


def test_harmful_content_is_reported_before_content_that_merely_ran_beside_it():
    suspects = Suspects()
    for number in range(3):
        crash(suspects, "deadly", f"i-{number}", 1.0)
    for number in range(4 * MAX_EVIDENCE_PER_DATAGRAM):
        crash(suspects, f"f-{number}", "i-2", 2.0)
    assert suspects.evidence(3.0)[0].fingerprint == "deadly"


def test_new_evidence_is_sent_although_many_contents_were_lost_with_a_failure_domain():
    suspects = Suspects()
    for number in range(4 * MAX_EVIDENCE_PER_DATAGRAM):
        crash(suspects, f"f-{number}", "i-1", 1.0, occasion=f"q-{number}", is_trial=False)
    crash(suspects, "deadly", "i-2", 5.0, is_trial=False)
    assert suspects.evidence(5.2)[0].fingerprint == "deadly"


def test_content_refused_for_one_shard_is_reported_before_content_that_was_lost_once():
    suspects = Suspects()
    suspects.record_run("deadly", 1.0)
    for number in range(3):
        crash(suspects, "deadly", f"i-{number}", 1.0)
    for number in range(4 * MAX_EVIDENCE_PER_DATAGRAM):
        crash(suspects, f"f-{number}", "i-4", 5.0, occasion=f"q-{number}", is_trial=False)
    assert suspects.is_refused("deadly", 5.2)
    assert suspects.evidence(5.2)[0].fingerprint == "deadly"


def test_evidence_is_urgent_against_content_that_ran_long_ago():
    suspects = Suspects()
    suspects.record_run("f", 1.0)
    crash(suspects, "f", "i-1", 2.0)
    assert not suspects.take_news()
    crash(suspects, "f", "i-2", 2.0 + EVIDENCE_TTL_S)
    assert suspects.take_news()


CRASHES = st.lists(
    st.tuples(st.integers(0, 5), st.floats(0.0, 2.0), st.booleans()), min_size=1, max_size=30
)


@settings(derandomize=True, deadline=None)
@given(CRASHES)
def test_bound_on_kept_crashes_changes_no_refusal(drawn):
    bounded, unbounded = Suspects(), Suspects()
    now = 0.0
    for number, (server, pause_s, is_trial) in enumerate(drawn):
        now += pause_s
        crash(bounded, "f", f"i-{server}", now, occasion=f"q-{number}", is_trial=is_trial)
        with mock.patch.object(suspects_module, "MAX_CRASHES_PER_SERVICE", len(drawn)):
            crash(unbounded, "f", f"i-{server}", now, occasion=f"q-{number}", is_trial=is_trial)
        assert bounded.is_refused("f", now) == unbounded.is_refused("f", now)


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


class CrashingSimulation(Simulation):
    """A simulation whose servers refuse probes, too, while they are down."""

    def __init__(self, crashing, *args):
        self.crashing = crashing
        super().__init__(*args)

    def _is_listening(self, server_id):
        return self.now >= self.crashing.down_until.get(server_id, 0.0)


def test_a_request_that_crashes_servers_is_no_longer_sent():
    crashing = CrashingServers()
    servers = {f"i-{n}": ("s-1", "north", crashing.answer(f"i-{n}")) for n in range(6)}
    simulation = CrashingSimulation(crashing, [single_route()], servers)
    draw = random.Random(1)
    for number in range(60):
        simulation.ask(request_id=f"q-{number}", fingerprint="poison")
        simulation.run(draw.uniform(0.1, 0.5))
    simulation.run(3.0)
    assert crashing.crashes <= 3 + 2 * 2
    refused = [a for a in simulation.answers.values() if isinstance(a, ErrorAnswer)]
    assert refused[-1].status == 503
