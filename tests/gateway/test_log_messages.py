from __future__ import annotations

import ast
from pathlib import Path

import marigoldwalk

PACKAGE = Path(marigoldwalk.__file__).parent
OPERATIONS = PACKAGE.parent / "docs" / "OPERATIONS.md"
FOLDERS = ("gateway", "routing", "platform")
SHOWN_LEVELS = ("info", "warning", "error", "exception", "_log")


def messages():
    """The texts of all log lines of the gateway that are shown at the default level."""
    for folder in FOLDERS:
        for path in sorted((PACKAGE / folder).glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                is_call = isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)
                if is_call and node.func.attr in SHOWN_LEVELS and node.args:
                    text = node.args[0]
                    if isinstance(text, ast.Constant) and isinstance(text.value, str):
                        yield text.value


def test_the_operators_page_names_every_message():
    page = OPERATIONS.read_text(encoding="utf-8")
    found = set(messages())
    assert len(found) > 20
    assert {text for text in found if f"`{text}`" not in page} == set()
