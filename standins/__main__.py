"""Command line that runs stand-ins as separate processes."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import gevent
from cyclopts import App
from gevent.fileobject import FileObjectPosix

from .behaviour import ServersFile
from .data import Dataset
from .platform import ServedPlatform
from .serving import ServerProcess

app = App(name="standins", help="Run simulated backend servers or a simulated platform.")


@app.command
def serve_servers(spec: str) -> None:
    """Serve the backend servers described in the file SPEC until standard input closes.

    Prints one line of JSON with the address of each server and of the control listener.
    """
    servers_file = ServersFile.model_validate_json(Path(spec).read_text(encoding="utf-8"))
    process = ServerProcess(servers_file, Dataset(servers_file.seed))
    _print_json({"servers": process.addresses(), "control": process.control_listener.address})
    _wait_for_stdin_eof()


@app.command
def serve_platform() -> None:
    """Serve the platform until standard input closes; prints its address as JSON."""
    served = ServedPlatform()
    _print_json({"platform": served.listener.address})
    _wait_for_stdin_eof()


def _print_json(message: dict[str, Any]) -> None:
    sys.stdout.write(json.dumps(message) + "\n")
    sys.stdout.flush()


def _wait_for_stdin_eof() -> None:
    # The parent process holds the other end of the pipe, so the read also ends if it is killed.
    FileObjectPosix(sys.stdin.buffer.fileno(), "rb", close=False).read()
    gevent.sleep(0)


if __name__ == "__main__":
    app()
