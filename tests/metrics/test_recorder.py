from __future__ import annotations

from marigoldwalk.metrics.recorder import MAX_WORKSPACES, OTHER_WORKSPACES, Recorder


def test_refusals_are_counted_for_a_bounded_number_of_workspaces():
    recorder = Recorder()
    for number in range(MAX_WORKSPACES + 5):
        recorder.record_refusal(f"w-{number}", "over_quota")
    recorder.record_refusal("w-0", "over_quota")
    counts = recorder.workspace_refusals
    assert len(counts) == MAX_WORKSPACES + 1
    assert counts["w-0", "over_quota"] == 2
    assert counts[OTHER_WORKSPACES, "over_quota"] == 5
