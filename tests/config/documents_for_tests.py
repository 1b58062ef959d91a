"""Builders of small configuration documents."""

from __future__ import annotations

from typing import Any


def server(number: int, **changes: Any) -> dict[str, Any]:
    return {
        "name": f"s-{number}",
        "address": f"10.0.0.{number + 1}:8080",
        "domain": f"bud-{'abc'[number % 3]}",
        "index": "kiosks",
        "service": f"kiosks-{number // 2:02}",
        "slots": 2,
        "connections": 25,
        "labels": {"tier": "hot" if number % 2 else "warm"},
    } | changes


def group(**changes: Any) -> dict[str, Any]:
    return {
        "name": "kiosk-finder",
        "select": "index=kiosks",
        "priority": 0,
        "deadline_ms": 350,
        "repeatable": True,
        "merge": "nearest",
    } | changes


def document(**changes: Any) -> dict[str, Any]:
    return {
        "revision": 3,
        "servers": [server(number) for number in range(6)],
        "groups": [group()],
    } | changes
