"""Seeds that failed in the past, with their causes; ``--regressions`` runs them again."""

from __future__ import annotations

RECORDED_KINDS = (
    "configuration",
    "domain_out",
    "herd_kill",
    "kill",
    "pause",
    "reload",
    "reshard",
    "server_crash",
    "server_link",
    "server_mode",
    "server_replaced",
    "server_reset",
    "stop",
    "store_compacts",
    "store_fails",
    "store_link",
    "store_reset",
)
"""The kinds of faults when the seeds failed; further kinds would change their plans."""

REGRESSIONS = {
    1: "harness: a blocked link delivered a request late, which counted as a deadline violation",
    20: "harness: a server's port was taken by a server of a concurrent run",
    35: "SIGHUP killed a process that was still loading; SIGHUP is now ignored from the start",
    38: "as 35; later also SIGHUP before the interpreter had reached the program's first line",
    100: "harness: SIGTERM killed a process that was still loading",
    107: "a stop closed the store's connection during a read, and the daemon exited with status 1",
    108: "as 107, at two daemons in a series of stops",
}
"""The cause of each failure by seed; ``harness:`` marks faults of the harness itself."""
