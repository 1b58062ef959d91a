from __future__ import annotations

import gevent
import pytest

from standins.platform import InstanceEntry, Outage, Platform, PlatformControl

LONG_S = 3600.0


def entry(name: str) -> InstanceEntry:
    return InstanceEntry(name=name, address="127.0.0.1:1", domain="bud-a")


def test_watch_returns_the_next_document():
    platform = Platform()
    platform.publish("revision: 3\n")
    assert platform.wait_for_change(-1, 0.0).revision == 3
    watch = gevent.spawn(platform.wait_for_change, 3, LONG_S)
    gevent.sleep(0)
    assert not watch.ready()
    platform.publish("revision: 4\n")
    assert watch.get().text == "revision: 4\n"


def test_watch_without_change_returns_nothing():
    platform = Platform()
    platform.publish("revision: 3\n")
    assert platform.wait_for_change(3, 0.0) is None


def test_outage_ends_watches():
    platform = Platform()
    platform.publish("revision: 3\n")
    watch = gevent.spawn(platform.wait_for_change, 3, LONG_S)
    gevent.sleep(0)
    platform.control(PlatformControl(outage=Outage.ERROR))
    assert watch.get() is None


def test_stale_service_serves_an_old_revision_until_it_is_reset():
    platform = Platform()
    platform.publish("revision: 3\n")
    platform.publish("revision: 4\n")
    platform.control(PlatformControl(serve_revision=3))
    assert platform.document().revision == 3
    platform.control(PlatformControl(serve_revision=0))
    assert platform.document().revision == 4


@pytest.mark.parametrize("text", ["", "servers: [", "revision: x\n"])
def test_text_without_revision_gets_the_next_revision(text):
    platform = Platform()
    platform.publish("revision: 3\n")
    assert platform.publish(text).revision == 4
    assert platform.document().text == text


def test_instance_list_lags_by_the_configured_time():
    now = [100.0]
    platform = Platform(clock=lambda: now[0])
    platform.control(PlatformControl(instances=(entry("m-1"),)))
    assert platform.instance_list().version == 1
    platform.control(PlatformControl(instances_lag_s=5.0))
    now[0] = 110.0
    platform.control(PlatformControl(instances=(entry("m-1"), entry("m-2"))))
    assert platform.instance_list().version == 1
    now[0] = 115.0
    assert [each.name for each in platform.instance_list().instances] == ["m-1", "m-2"]
