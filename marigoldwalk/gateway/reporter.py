"""Logs and metrics about the outcome of requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..routing.exchanges import ErrorAnswer, ForwardedAnswer, MergedAnswer, TaskState

if TYPE_CHECKING:
    from collections import Counter

    from ..metrics.recorder import Recorder
    from ..routing.exchanges import Answer, CallerRequest, Exchange, Task

logger = logging.getLogger(__name__)

MAX_TASKS_LOGGED = 6
"""Maximum number of unfinished tasks listed in a log line."""


class Reporter:
    """Counts every answer and logs those that are failed, partial or late."""

    def __init__(self, counters: Counter[str], recorder: Recorder) -> None:
        self._counters = counters
        self._recorder = recorder

    def refused(self, request: CallerRequest, answer: ErrorAnswer) -> None:
        """Report a request that was refused before it was routed."""
        self._count(request, answer)
        fields = {
            "request": request.request_id,
            "content": request.fingerprint,
            "status": answer.status,
            "reason": answer.reason.value,
            "path": request.path,
            "workspace": _workspace_name(request),
        }
        logger.info("request refused", extra={"fields": fields, "important": True})

    def rejected(self, path: str, answer: ErrorAnswer) -> None:
        """Report a request that was rejected while its headers or body were read."""
        self._counters[f"refusal.{answer.reason.value}"] += 1
        fields = {"path": path, "status": answer.status, "reason": answer.reason.value}
        logger.info("request rejected while reading", extra={"fields": fields, "important": True})

    def answered(self, exchange: Exchange, answer: Answer | None, now: float) -> None:
        """Report the answer of an exchange, or ``None`` if the caller disconnected."""
        elapsed_ms = round((now - exchange.request.received_at) * 1000, 1)
        is_late = now > exchange.target_at + 0.002
        if answer is None:
            self._counters["answer.caller_left"] += 1
            logger.info("caller disconnected", extra={"fields": self._fields(exchange, elapsed_ms)})
            return
        if not isinstance(answer, ErrorAnswer):
            self._recorder.record_latency(exchange.route.name, elapsed_ms / 1000)
        if isinstance(answer, ErrorAnswer):
            self._count(exchange.request, answer)
            self._log("request failed", exchange, elapsed_ms, answer)
        elif isinstance(answer, MergedAnswer) and answer.missing_count:
            self._counters["answer.partial"] += 1
            self._log("answer is partial", exchange, elapsed_ms, answer)
        elif isinstance(answer, ForwardedAnswer) and not answer.reply.is_success:
            self._counters["answer.server_failure"] += 1
            self._log("server error passed through", exchange, elapsed_ms, answer)
        elif is_late:
            self._counters["answer.late"] += 1
            self._log("answer is late", exchange, elapsed_ms, answer)
        else:
            self._counters["answer.whole"] += 1

    def _count(self, request: CallerRequest, answer: ErrorAnswer) -> None:
        self._counters[f"refusal.{answer.reason.value}"] += 1
        if request.workspace is not None:
            self._recorder.record_refusal(request.workspace.name, answer.reason.value)

    def _log(self, message: str, exchange: Exchange, elapsed_ms: float, answer: Answer) -> None:
        fields = self._fields(exchange, elapsed_ms)
        if isinstance(answer, ErrorAnswer):
            fields |= {"status": answer.status, "reason": answer.reason.value}
        elif isinstance(answer, ForwardedAnswer):
            fields["status"] = answer.reply.status
        is_failure = not isinstance(answer, MergedAnswer)
        logger.info(message, extra={"fields": fields, "important": is_failure})

    @staticmethod
    def _fields(exchange: Exchange, elapsed_ms: float) -> dict[str, object]:
        """Return log fields that explain the answer of *exchange*."""
        open_tasks = [task for task in exchange.tasks if task.state is not TaskState.DONE]
        return {
            "request": exchange.request.request_id,
            "route": exchange.route.name,
            "workspace": _workspace_name(exchange.request),
            "version": exchange.config_version,
            "elapsed_ms": elapsed_ms,
            "target_ms": round(exchange.route.target_s * 1000),
            "sends": exchange.attempt_count,
            "tasks": len(exchange.tasks),
            "done": exchange.done_count,
            "missing": [_describe(task) for task in open_tasks[:MAX_TASKS_LOGGED]],
        }


def _workspace_name(request: CallerRequest) -> str | None:
    return request.workspace.name if request.workspace is not None else None


def _describe(task: Task) -> str:
    """Return why *task* has no reply, where it may have run, and why it was not sent again."""
    servers = ",".join(sorted(task.may_have_run_on))
    description = f"{task.service}: {task.failure} ({servers})"
    if task.hedge_refusal:
        description += f"; not sent again: {task.hedge_refusal}"
    return description
