from __future__ import annotations

import pytest

from marigoldwalk.routing.outages import REREGISTRATION_S, Outages


def outages_after(*failures_are_silent, silence_s):
    """Return the state after an answer at 100, then failures, and an answer *silence_s* later."""
    outages = Outages()
    outages.record_answer(100.0)
    for is_silent in failures_are_silent:
        outages.record_failure(is_silent_reader=is_silent)
    outages.record_answer(100.0 + silence_s)
    return outages


def test_nothing_is_put_off_without_a_failure():
    assert outages_after(silence_s=9.0).recovering_until == float("-inf")


def test_live_servers_have_time_to_register_again_after_an_outage():
    outages = outages_after(False, False, silence_s=4.0)
    assert outages.recovering_until == 104.0 + REREGISTRATION_S


@pytest.mark.parametrize("failures", [1, 2, 5])
@pytest.mark.parametrize("silence_s", [0.01, 1.0, 1.9])
def test_removal_beside_failed_calls_is_not_put_off_beyond_the_time_of_a_leaving_server(
    failures, silence_s
):
    """The entry may have gone just after the last answer."""
    outages = outages_after(*[False] * failures, silence_s=silence_s)
    assert outages.recovering_until == 100.0 + REREGISTRATION_S


def test_one_call_that_takes_its_whole_time_limit_is_no_outage():
    assert outages_after(False, silence_s=2.5).recovering_until < 102.5


def test_lost_readers_are_no_outage_of_the_store():
    assert outages_after(True, True, True, silence_s=4.0).recovering_until == float("-inf")
