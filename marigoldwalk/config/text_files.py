"""Reading of text files that operators supply."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from ..errors import MarigoldwalkError

if TYPE_CHECKING:
    from ..errors import Code


def read_text(path: Path, code: Code) -> str:
    """Return the text of the file at *path*; raises ``MarigoldwalkError`` with *code*."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise MarigoldwalkError(code, f"{path}: {exc.strerror or exc}") from exc
    except UnicodeDecodeError as exc:
        raise MarigoldwalkError(code, f"{path}: not UTF-8 text") from exc
