from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from soak.faults import faults
from soak.plan import WARM_UP_S, make_plan

KINDS = faults.names()


@given(st.integers(0, 2**40), st.floats(4.0, 60.0))
def test_plan_is_ordered_bounded_and_reproducible(seed, duration_s):
    plan = make_plan(seed, KINDS, duration_s)
    assert plan == make_plan(seed, KINDS, duration_s)
    assert [fault.at for fault in plan] == sorted(fault.at for fault in plan)
    assert all(WARM_UP_S <= fault.at < duration_s and fault.kind in KINDS for fault in plan)


def test_plans_of_many_seeds_include_and_repeat_every_kind():
    plans = [make_plan(seed, KINDS, 20.0) for seed in range(60)]
    assert {fault.kind for plan in plans for fault in plan} == set(KINDS)
    repeated = {
        one.kind
        for plan in plans
        for one, other in zip(plan, plan[1:], strict=False)
        if one.kind == other.kind
    }
    assert repeated == set(KINDS)
