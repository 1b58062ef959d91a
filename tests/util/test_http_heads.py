from __future__ import annotations

from http.client import HTTPException

import gevent
import pytest
from urllib3.exceptions import HTTPError

from marigoldwalk.client.exchange import Exchange, ExchangeFailure
from marigoldwalk.util.gevent_http import GeventConnection
from marigoldwalk.util.gevent_pool import GeventConnectionPool

from ..gateway.closing import closing_server

HEAD = b"HTTP/1.1 200 OK\r\nStore-Era: 12\r\nContent-Length: 2\r\n\r\n"


def read(address):
    connection = GeventConnection(address.host, address.port, timeout=5.0)
    connection.connect()
    try:
        return connection.exchange("GET", "/", None, {})
    finally:
        connection.close()


# Guards against replies that stopped within their head and were taken for complete, empty ones.
def test_reply_that_ends_within_its_head_is_an_error():
    with closing_server() as server:
        for end in range(len(HEAD)):
            server.reply = HEAD[:end]
            with pytest.raises((OSError, HTTPException)):
                read(server.address)
        server.reply = HEAD + b"ok"
        assert read(server.address).body == b"ok"


def test_pooled_reply_that_ends_within_its_head_is_an_error():
    with closing_server() as server:
        pool = GeventConnectionPool(server.address.host, server.address.port, retries=False)
        for end in range(len(HEAD)):
            server.reply = HEAD[:end]
            with pytest.raises(HTTPError):
                pool.request("GET", "/")
        server.reply = HEAD + b"ok"
        assert pool.request("GET", "/").data == b"ok"


def test_daemon_reply_that_ends_within_its_head_is_lost_after_it_was_sent():
    with closing_server() as server:
        for end in range(len(HEAD)):
            server.reply = HEAD[:end]
            exchange = Exchange(server.address)
            # The client blocks its thread, and the server runs in this one.
            outcome = gevent.get_hub().threadpool.apply(exchange.run, (b"{}", 5.0))
            assert isinstance(outcome, ExchangeFailure)
            assert outcome.sent
