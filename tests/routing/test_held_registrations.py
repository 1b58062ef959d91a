from __future__ import annotations

from marigoldwalk.routing.held_registrations import HeldRegistrations

from .simulation import registration


def test_registration_is_due_at_its_time():
    held = HeldRegistrations()
    held.hold(registration("a"), 5.0)
    held.hold(registration("b"), 6.0)
    assert held.take_due(4.9) == []
    assert held.take_due(5.0) == [registration("a")]
    assert held.take_due(5.0) == []


def test_later_registration_of_a_server_replaces_the_one_that_is_held():
    held = HeldRegistrations()
    held.hold(registration("a", sequence=1), 5.0)
    held.hold(registration("a", sequence=2), 7.0)
    assert held.take_due(6.0) == []
    assert held.take_due(7.0) == [registration("a", sequence=2)]


def test_registration_that_the_store_has_replaced_is_dropped():
    held = HeldRegistrations()
    held.hold(registration("a"), 5.0)
    held.hold(registration("b"), 5.0)
    held.forget("a")
    assert held.take_due(9.0) == [registration("b")]
    held.hold(registration("b"), 5.0)
    held.clear()
    assert held.take_due(9.0) == []
