from __future__ import annotations

import json
import logging
import os

import pytest

from marigoldwalk.daemon.log_output import (
    IMPORTANT_LINES_PER_S,
    LINES_PER_S,
    MAX_BUFFER_BYTES,
    LineRateLimiter,
    NonBlockingHandler,
)
from marigoldwalk.daemon.logs import JsonLinesFormatter


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


def make_record(message="answer is late", level=logging.INFO, **values):
    made = logging.LogRecord("test", level, "", 0, message, (), None)
    made.__dict__.update(values)
    return made


def make_handler(writer, clock=None):
    handler = NonBlockingHandler(writer, LineRateLimiter(clock or Clock()))
    handler.setFormatter(JsonLinesFormatter("m-1"))
    return handler


def test_a_record_is_written_as_a_json_line(pipe):
    reader, writer = pipe
    handler = make_handler(writer)
    handler.emit(make_record(fields={"request": "q-1"}))
    line = json.loads(os.read(reader, 65_536))
    assert (line["message"], line["request"], line["daemon"]) == ("answer is late", "q-1", "m-1")


def test_lines_beyond_the_buffer_are_dropped_if_the_reader_does_not_read(pipe):
    _, writer = pipe
    clock = Clock()
    handler = make_handler(writer, clock)
    text = "x" * 1000
    count = 2 * MAX_BUFFER_BYTES // 1000
    for _ in range(count):
        clock.now += 1.0
        handler.emit(make_record(fields={"text": text}))
    assert handler.dropped["answer is late"] > count // 4


def test_buffered_lines_are_written_in_order(pipe):
    reader, writer = pipe
    clock = Clock()
    handler = make_handler(writer, clock)
    for number in range(150):
        clock.now += 1.0
        handler.emit(make_record(fields={"number": number, "text": "x" * 1000}))
    read = b""
    while read.count(b"\n") < 150:
        read += os.read(reader, 65_536)
        handler._retry()
    assert [json.loads(line)["number"] for line in read.splitlines()] == list(range(150))


def test_lines_of_one_message_are_rate_limited_and_dropped_ones_counted(pipe):
    reader, writer = pipe
    handler = make_handler(writer)
    for _ in range(200):
        handler.emit(make_record())
    handler.emit(make_record("started"))
    lines = os.read(reader, 1_000_000).splitlines()
    assert len(lines) == 2 * LINES_PER_S + 1
    assert handler.dropped["answer is late"] == 200 - 2 * LINES_PER_S


def test_important_lines_have_a_higher_rate_limit(pipe):
    reader, writer = pipe
    handler = make_handler(writer)
    for _ in range(400):
        handler.emit(make_record("request failed", important=True))
    assert len(os.read(reader, 1_000_000).splitlines()) == 2 * IMPORTANT_LINES_PER_S


def test_lines_are_not_buffered_after_the_reader_closes_the_pipe():
    reader, writer = os.pipe()
    handler = make_handler(writer)
    os.close(reader)
    handler.emit(make_record())
    handler.emit(make_record())
    assert handler._pending_bytes == 0
    os.close(writer)
