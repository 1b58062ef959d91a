"""Client for the platform's configuration and instance list."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event as Signal
from pydantic import BaseModel, ConfigDict
from urllib3.exceptions import HTTPError
from urllib3.util import parse_url

from ..config.addresses import parse_address
from ..core.events import (
    DocumentRead,
    Instance,
    InstancesRead,
    PlatformConfirmed,
    PlatformFailed,
)
from ..util.gevent_pool import GeventConnectionPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.events import Event
    from ..util.clock import Clock

logger = logging.getLogger(__name__)

LONG_POLL_MS = 1000
"""Time for which the platform holds a long poll open if nothing changes."""
ANSWER_TIMEOUT_S = 1.0
"""Time limit for an answer, in addition to the long poll."""
INSTANCES_INTERVAL_S = 1.0
"""Time between reads of the instance list."""
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
NOT_MODIFIED = 304


class PlatformError(Exception):
    """The platform did not answer, or its answer does not conform to the interface."""


class _AnswerModel(BaseModel):
    # The platform may be newer than this daemon, so unknown fields are ignored.
    model_config = ConfigDict(extra="ignore")


class _DocumentModel(_AnswerModel):
    revision: int
    text: str


class _InstanceModel(_AnswerModel):
    name: str
    address: str
    domain: str
    leaving: bool = False


class _InstancesModel(_AnswerModel):
    version: int
    # Each entry is validated by itself, so that an invalid one does not cost the whole list.
    instances: list[Any]


def _read_instance(entry: Any) -> Instance | None:
    """Return the instance in an entry of the list, or ``None`` if the entry is invalid."""
    try:
        item = _InstanceModel.model_validate(entry)
        return Instance(item.name, parse_address(item.address), item.domain, item.leaving)
    except ValueError as exc:
        logger.warning("invalid entry of the instance list", extra={"fields": {"why": str(exc)}})
        return None


class PlatformClient:
    """Reads from the platform in two greenlets and posts the results as events.

    One greenlet long-polls the configuration: the platform answers as soon as its revision differs
    from the last one read, or confirms that one after ``LONG_POLL_MS``. The other reads the
    instance list every second. After failures, both use exponential backoff with jitter, so that
    the daemons of a fleet do not all retry at once.
    """

    def __init__(self, url: str, clock: Clock, post: Callable[[Event], None]) -> None:
        parts = parse_url(url)
        self._prefix = (parts.path or "").rstrip("/")
        self._pool = GeventConnectionPool(parts.host, parts.port, maxsize=2, retries=False)
        self._clock = clock
        self._post = post
        self._revision = 0
        self._refresh_requested = Signal()
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start reading."""
        self._greenlets = [
            gevent.spawn(self._poll, self.watch_configuration, lambda: None),
            gevent.spawn(self._poll, self.read_instances, self._wait_for_next_read),
        ]

    def stop(self) -> None:
        """Stop reading."""
        gevent.killall(self._greenlets)
        self._pool.close()

    def refresh_instances(self) -> None:
        """Read the instance list now instead of at the end of the interval."""
        self._refresh_requested.set()

    def watch_configuration(self) -> None:
        """Long-poll the configuration once and post the result."""
        requested_at = self._clock.now()
        try:
            raw = self._get(
                f"/configuration?after={self._revision}&wait_ms={LONG_POLL_MS}", LONG_POLL_MS / 1000
            )
            document = None if raw is None else _DocumentModel.model_validate_json(raw)
        except (PlatformError, ValueError):
            self._post(PlatformFailed())
            raise
        if document is None:
            self._post(PlatformConfirmed(self._revision, requested_at))
            return
        self._revision = document.revision
        self._post(DocumentRead(document.text, requested_at))

    def read_instances(self) -> None:
        """Read the instance list and post it."""
        requested_at = self._clock.now()
        raw = self._get("/instances", 0.0)
        listed = _InstancesModel.model_validate_json(raw or b"")
        found = (_read_instance(entry) for entry in listed.instances)
        instances = tuple(instance for instance in found if instance is not None)
        self._post(InstancesRead(listed.version, instances, requested_at))

    def _wait_for_next_read(self) -> None:
        self._refresh_requested.wait(INSTANCES_INTERVAL_S)
        self._refresh_requested.clear()

    def _poll(self, read: Callable[[], None], pause: Callable[[], object]) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                read()
            except (PlatformError, ValueError) as exc:
                logger.debug("reading from the platform failed: %s", exc)
                gevent.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            else:
                backoff_s = MIN_BACKOFF_S
                pause()

    def _get(self, path: str, wait_s: float) -> bytes | None:
        """Return the body of an answer, or ``None`` if it says that nothing has changed."""
        try:
            with gevent.Timeout(
                wait_s + ANSWER_TIMEOUT_S, PlatformError("the platform did not answer in time")
            ):
                response = self._pool.request("GET", self._prefix + path)
        except (OSError, HTTPError) as exc:
            raise PlatformError(repr(exc)) from exc
        if response.status == NOT_MODIFIED:
            return None
        if response.status != 200:
            raise PlatformError(f"the platform answered with status {response.status}")
        return response.data
