from __future__ import annotations

import pytest

from marigoldwalk.routing.first_read import MAX_HOLD_S, FirstRead


def test_request_is_held_until_the_time_for_the_first_read_is_over():
    first_read = FirstRead(started_at=100.0)
    assert first_read.hold_s(100.0) == pytest.approx(MAX_HOLD_S)
    assert first_read.hold_s(100.3) == pytest.approx(MAX_HOLD_S - 0.3)
    assert first_read.hold_s(100.0 + MAX_HOLD_S) == 0.0


def test_request_is_not_held_after_the_first_read_has_ended():
    first_read = FirstRead(started_at=100.0)
    first_read.has_ended = True
    assert first_read.hold_s(100.1) == 0.0
