"""Loads the large libraries of a daemon, which take most of the time of its start."""

from __future__ import annotations

import gevent.pywsgi
import httptools
import pydantic
import thrift.protocol.TBinaryProtocol

LOADED = (gevent.pywsgi, httptools, pydantic.BaseModel, pydantic.Field, thrift)
"""What has been loaded; pydantic loads its models when they are first named."""
