from __future__ import annotations

import ast
from pathlib import Path

import marigoldwalk

PACKAGE = Path(marigoldwalk.__file__).parent
OPERATIONS = PACKAGE.parent / "docs" / "OPERATIONS.md"
FOLDERS = ("gateway", "routing", "platform")
LOG_METHODS = ("info", "warning", "error", "exception", "_log")


def log_messages():
    """Yield the messages of all log calls of the gateway at the default log level."""
    for folder in FOLDERS:
        for path in sorted((PACKAGE / folder).glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                is_call = isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)
                if is_call and node.func.attr in LOG_METHODS and node.args:
                    text = node.args[0]
                    if isinstance(text, ast.Constant) and isinstance(text.value, str):
                        yield text.value


def test_operators_page_lists_every_log_message():
    page = OPERATIONS.read_text(encoding="utf-8")
    texts = set(log_messages())
    assert len(texts) > 20
    assert {text for text in texts if f"`{text}`" not in page} == set()
