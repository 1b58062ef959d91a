from __future__ import annotations

import json
import logging
import os

import pytest

from marigoldwalk.daemon.log_output import (
    IMPORTANT_LINES_PER_S,
    LINES_PER_S,
    MAX_BUFFER_BYTES,
    LineLimit,
    NonBlockingHandler,
)
from marigoldwalk.daemon.logs import JsonLines


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def record(message="answer is late", level=logging.INFO, **values):
    made = logging.LogRecord("test", level, "", 0, message, (), None)
    made.__dict__.update(values)
    return made


def output(writer, clock=None):
    handler = NonBlockingHandler(writer, LineLimit(clock or Clock()))
    handler.setFormatter(JsonLines("m-1"))
    return handler


def test_lines_are_written_whole(pipe):
    reader, writer = pipe
    handler = output(writer)
    handler.emit(record(fields={"request": "q-1"}))
    line = json.loads(os.read(reader, 65_536))
    assert (line["message"], line["request"], line["daemon"]) == ("answer is late", "q-1", "m-1")


def test_a_reader_that_does_not_read_costs_lines_and_not_time(pipe):
    _, writer = pipe
    clock = Clock()
    handler = output(writer, clock)
    text = "x" * 1000
    count = 2 * MAX_BUFFER_BYTES // 1000
    for _ in range(count):
        clock.now += 1.0
        handler.emit(record(fields={"text": text}))
    assert handler.left_out["answer is late"] > count // 4


def test_lines_that_waited_are_written_in_order(pipe):
    reader, writer = pipe
    clock = Clock()
    handler = output(writer, clock)
    for number in range(150):
        clock.now += 1.0
        handler.emit(record(fields={"number": number, "text": "x" * 1000}))
    read = b""
    while read.count(b"\n") < 150:
        read += os.read(reader, 65_536)
        handler._retry()
    assert [json.loads(line)["number"] for line in read.splitlines()] == list(range(150))


def test_a_flood_of_one_message_is_bounded_and_counted(pipe):
    reader, writer = pipe
    handler = output(writer)
    for _ in range(200):
        handler.emit(record())
    handler.emit(record("started"))
    lines = os.read(reader, 1_000_000).splitlines()
    assert len(lines) == 2 * LINES_PER_S + 1
    assert handler.left_out["answer is late"] == 200 - 2 * LINES_PER_S


def test_lines_of_failed_requests_have_a_larger_part(pipe):
    reader, writer = pipe
    handler = output(writer)
    for _ in range(400):
        handler.emit(record("request failed", important=True))
    assert len(os.read(reader, 1_000_000).splitlines()) == 2 * IMPORTANT_LINES_PER_S


def test_lines_for_nobody_are_dropped():
    reader, writer = os.pipe()
    handler = output(writer)
    os.close(reader)
    handler.emit(record())
    handler.emit(record())
    assert handler._waiting_bytes == 0
    os.close(writer)
