from __future__ import annotations

import re
from pathlib import Path

from marigoldwalk.errors import Code, Missing, Refusal, RefusalReason

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CODES.md"


def rows(pattern: str) -> list[tuple[str, str]]:
    return re.findall(pattern, PAGE.read_text(encoding="utf-8"), flags=re.MULTILINE)


def test_the_page_lists_every_code():
    assert rows(r"^\| (\d+) \| `(\w+)` \|") == [(str(code.value), code.name) for code in Code]


def test_the_page_lists_every_reason_for_a_missing_shard():
    assert rows(r"^\| `(\w+)` \| ([^|]+) \|") == [(item.name, item.value) for item in Missing]


def test_the_page_lists_every_reason_for_an_answer_of_the_gateway_itself():
    listed = [reason for _, reason in rows(r"^\| HTTP (\d+) \| `(\w+)` \|")]
    assert sorted(listed) == sorted(reason.value for reason in RefusalReason)


def test_a_refusal_is_falsy():
    assert not Refusal(Code.OVERLOADED, "queue full", 0.1)
