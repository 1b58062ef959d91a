"""Logging as JSON lines."""

from __future__ import annotations

import json
import logging
import sys
from datetime import UTC, datetime


class JsonLinesFormatter(logging.Formatter):
    """Formats each record as one line of JSON.

    Logging calls add fields with ``extra={"fields": {...}}``. ``daemon`` names the process, so that
    a query can be traced through the logs of several daemons.
    """

    def __init__(self, daemon: str) -> None:
        super().__init__()
        self._daemon = daemon

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for *record*, without a line break."""
        time = datetime.fromtimestamp(record.created, UTC)
        line = {
            "time": time.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "daemon": self._daemon,
            "logger": record.name,
            "message": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_logs(daemon: str, level: str, handler: logging.Handler | None = None) -> None:
    """Send the log records of the whole process to *handler* (standard error by default)."""
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonLinesFormatter(daemon))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("urllib3").setLevel(logging.WARNING)
