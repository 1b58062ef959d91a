"""The readiness of this daemon, as reported to the load balancer and to operators."""

from __future__ import annotations


class Readiness:
    """Whether the daemon is ready for callers; not ready until the core reports otherwise."""

    def __init__(self) -> None:
        self.ready = False
        self.reason = "starting"

    def change(self, ready: bool, reason: str) -> None:
        """Record a change of readiness."""
        self.ready = ready
        self.reason = reason
