"""The command line: run a daemon, check files, send queries and inspect daemons.

A command exits with status 0 on success, 1 if the operation failed or was refused, and 2 if the
command itself could not be carried out.
"""

from __future__ import annotations

import json
import sys
from enum import IntEnum
from http import HTTPStatus
from pathlib import Path  # noqa: TC003 (read by cyclopts)
from typing import Annotated, Any

from cyclopts import App, CycloptsError, Parameter

from . import __version__
from .config.acceptance import Rejected, accept
from .config.settings import parse_settings, read_settings
from .config.text_files import read_text
from .errors import Code, MarigoldwalkError, Missing
from .util.json_text import decode_json
from .util.plain_table import plain_record, plain_table

app = App(name="marigoldwalk", version=__version__, help="A query tier over many shards.")

DEFAULT_DAEMON = "127.0.0.1:7000"
DEFAULT_ADMIN = "127.0.0.1:7002"
_ADMIN_TIMEOUT_S = 5.0

JsonFlag = Annotated[bool, Parameter(name="--json", negative="")]


class ExitStatus(IntEnum):
    """Exit statuses of the commands."""

    OK = 0
    FAILED = 1
    COMMAND_ERROR = 2


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit with its status."""
    try:
        status = app(arguments, exit_on_error=False, result_action="return_value")
    except CycloptsError:
        # cyclopts has already printed the message.
        status = ExitStatus.COMMAND_ERROR
    except MarigoldwalkError as exc:
        print(f"{exc.code.name} ({exc.code.value}): {exc}", file=sys.stderr)
        status = ExitStatus.COMMAND_ERROR
    except KeyboardInterrupt:
        status = ExitStatus.FAILED
    sys.exit(status or ExitStatus.OK)


@app.command
def serve(*, settings: Path) -> ExitStatus:
    """Run a daemon until it receives SIGTERM or SIGINT.

    Parameters
    ----------
    settings
        The daemon's settings file.
    """
    loaded = read_settings(settings)
    # Imported here because the other commands need no event loop.
    from .application import serve as serve_daemon

    return ExitStatus(serve_daemon(loaded))


@app.command
def check(
    file: Path,
    *,
    against: Path | None = None,
    admin: str = "",
    strict: bool = False,
    as_json: JsonFlag = False,
) -> ExitStatus:
    """Check a configuration or a settings file; print each problem.

    Problems of documents and settings are printed with their lines, and the exit status is 1. Of a
    routing configuration, errors, warnings and the changes that callers notice are printed with
    their entries. The exit status is then 2 after errors and, with --strict, 1 after warnings.

    Parameters
    ----------
    file
        The file to check. A file with servers, groups or a revision is checked as a configuration
        document, one with the address of a store as gateway settings, one with routes as a routing
        configuration.
    against
        The routing configuration in force, to compare the file with.
    admin
        The administration address of a gateway daemon, as ip:port. The file is compared with the
        configuration and the servers that this daemon knows.
    strict
        Whether warnings make the check fail.
    as_json
        Print the findings for a routing configuration as JSON.
    """
    text = read_text(file, Code.DOCUMENT_INVALID)
    if _is_routing_config(text):
        from .config_report import check_routing_config

        in_force = _read_admin(admin, "/configuration") if admin else None
        return ExitStatus(check_routing_config(file, text, against, in_force, strict, as_json))
    verdict = _check_text(text)
    if not isinstance(verdict, Rejected):
        print(f"{file}: valid")
        return ExitStatus.OK
    for problem in verdict.problems:
        print(f"{file}:{problem}")
    return ExitStatus.FAILED


@app.command
def query(
    group: str,
    *,
    body: str = "{}",
    key: str = "",
    deadline_ms: int = 0,
    limit: int = 0,
    once: bool = False,
    daemon: Annotated[list[str] | None, Parameter(negative="")] = None,
    as_json: JsonFlag = False,
) -> ExitStatus:
    """Send one query and print its answer.

    Parameters
    ----------
    group
        The group to query.
    body
        The body of the query, a JSON object.
    key
        The key that routes the query, in groups that route by key.
    deadline_ms
        The deadline in milliseconds; 0 stands for the group's deadline.
    limit
        The maximum number of hits; 0 stands for the group's limit.
    once
        Whether the request may run only once; the client then adds a request id.
    daemon
        The address of a daemon, as ip:port. The option can be repeated.
    as_json
        Print JSON rather than tables.
    """
    from .client import Client, QueryOptions
    from .client.report import answer_as_json, answer_as_text

    options = QueryOptions(
        group=group,
        body=_json_object(body),
        key=key,
        deadline_ms=deadline_ms,
        limit=limit,
        repeatable=not once,
    )
    try:
        client = Client(daemon or [DEFAULT_DAEMON])
    except ValueError as exc:
        raise MarigoldwalkError(Code.INVALID_FIELD, str(exc)) from exc
    answer = client.query(options)
    print(answer_as_json(answer) if as_json else answer_as_text(answer))
    return ExitStatus.OK if answer.answered else ExitStatus.FAILED


@app.command
def explain(group: str, *, admin: str = DEFAULT_ADMIN, as_json: JsonFlag = False) -> None:
    """Show which servers a group's selector matches and why, with their homes, limits and state.

    Parameters
    ----------
    group
        The group to explain.
    admin
        A daemon's administration address, as ip:port.
    as_json
        Print JSON rather than tables.
    """
    from urllib.parse import quote

    _print_record(_read_admin(admin, f"/explain/{quote(group, safe='')}"), as_json)


@app.command
def status(*, admin: str = DEFAULT_ADMIN, as_json: JsonFlag = False) -> None:
    """Show a daemon's identity, readiness, configuration and peers.

    Parameters
    ----------
    admin
        The daemon's administration address, as ip:port.
    as_json
        Print JSON rather than tables.
    """
    _print_record(_read_admin(admin, "/status"), as_json)


@app.command
def trace(request: str, files: list[Path]) -> ExitStatus:
    """Print the log lines of one request from the logs of several daemons, in order of time.

    Parameters
    ----------
    request
        The request's id.
    files
        Log files of daemons; text before the JSON object of a line is ignored.
    """
    from .util.log_lines import lines_of_request

    lines = lines_of_request(request, (read_text(f, Code.SETTINGS_UNREADABLE) for f in files))
    for line in lines:
        print(line)
    return ExitStatus.OK if lines else ExitStatus.FAILED


@app.command
def codes() -> None:
    """List the result codes and the reasons for missing shards."""
    print(plain_table(["code", "name"], [[str(code.value), code.name] for code in Code]))
    print()
    rows = [[reason.name, reason.value] for reason in Missing]
    print(plain_table(["missing shard", "reason"], rows))


def _check_text(text: str) -> object:
    """Parse *text* as the kind of file that its fields indicate; return the result or problems."""
    from .config.yaml_text import parse_yaml
    from .gateway.settings import parse_gateway_settings

    parsed = parse_yaml(text)
    if isinstance(parsed, Rejected) or not isinstance(parsed.value, dict):
        return accept(text)
    if not {"revision", "servers", "groups"}.isdisjoint(parsed.value):
        return accept(text)
    if "store_address" in parsed.value:
        return parse_gateway_settings(text)
    return parse_settings(text)


def _is_routing_config(text: str) -> bool:
    """Return whether *text* is a JSON object with routes."""
    try:
        value = decode_json(text)
    except ValueError:
        return False
    return isinstance(value, dict) and "routes" in value


def _json_object(text: str) -> dict[str, Any]:
    try:
        value = decode_json(text)
    except ValueError as exc:
        raise MarigoldwalkError(Code.MALFORMED, f"The body is not JSON: {exc}.") from exc
    if not isinstance(value, dict):
        raise MarigoldwalkError(Code.INVALID_FIELD, "The body must be a JSON object.")
    return value


def _read_admin(address: str, path: str) -> dict[str, Any]:
    """Return the JSON object at *path* of a daemon's administration address."""
    import urllib3

    from .config.addresses import parse_address

    try:
        url = f"http://{parse_address(address)}{path}"
    except ValueError as exc:
        raise MarigoldwalkError(Code.INVALID_FIELD, str(exc)) from exc
    try:
        reply = urllib3.request("GET", url, retries=False, timeout=_ADMIN_TIMEOUT_S)
        record = decode_json(reply.data)
    except urllib3.exceptions.HTTPError as exc:
        message = f"{address} does not answer ({type(exc).__name__})."
        raise MarigoldwalkError(Code.DAEMON_UNREACHABLE, message) from exc
    except ValueError as exc:
        message = f"{address} sent a reply that is not JSON."
        raise MarigoldwalkError(Code.DAEMON_UNREACHABLE, message) from exc
    if reply.status == HTTPStatus.OK and isinstance(record, dict):
        return record
    try:
        raise MarigoldwalkError(Code(record["code"]), record["reason"])
    except (KeyError, TypeError, ValueError) as exc:
        message = f"{address} is not the administration address of a daemon."
        raise MarigoldwalkError(Code.DAEMON_UNREACHABLE, message) from exc


def _print_record(record: dict[str, Any], as_json: bool) -> None:
    print(json.dumps(record, indent=2, ensure_ascii=False) if as_json else plain_record(record))
