from __future__ import annotations

from dataclasses import replace

import pytest

from marigoldwalk.errors import RefusalReason
from marigoldwalk.routing.catalog import KEPT_VERSIONS
from marigoldwalk.routing.exchanges import CallerRequest, ErrorAnswer
from marigoldwalk.routing.model import Workspace
from marigoldwalk.routing.router import Router
from marigoldwalk.routing.workspaces import WorkspaceIndex
from marigoldwalk.routing.world import RoutingLimits, RoutingWorld

from .simulation import HOST, routing_config, single_route

SALES = Workspace("sales", frozenset([b"s-1", b"s-2"]), priority=3)
LEGAL = Workspace("legal", frozenset([b"l-1"]))
ROUTE = single_route()
PUBLIC = replace(ROUTE, name="open", prefix="/open/", is_public=True)
NOW = 100.0


def apply(router, version, workspaces):
    config = routing_config([ROUTE, PUBLIC], ["s-1"], version=version)
    router.world.catalog.apply_config(replace(config, workspaces=workspaces))


def make_router(*workspaces, version=1, fail_closed=False):
    limits = RoutingLimits(revoke_fail_closed=fail_closed, revoke_s=5.0)
    router = Router(RoutingWorld("north", limits))
    apply(router, version, workspaces)
    router.world.catalog.confirmed_at = NOW
    return router


def request(*digests, path="/one/1", at=NOW):
    return CallerRequest("q-1", "GET", HOST, path, at, at + 2.0, key_digests=digests)


def identified(answer):
    """Return the name of the workspace of an exchange, or the status and reason of a refusal."""
    if isinstance(answer, ErrorAnswer):
        return answer.status, answer.reason
    workspace = answer.request.workspace
    return workspace.name if workspace else None


MISSING = (401, RefusalReason.MISSING_KEY)
UNKNOWN = (401, RefusalReason.UNKNOWN_KEY)
DOUBTFUL = (503, RefusalReason.KEYS_DOUBTFUL)


@pytest.mark.parametrize(
    ("digests", "path", "expected"),
    [
        ([b"s-2"], "/one/1", "sales"),
        ([b"l-1"], "/one/1", "legal"),
        ([], "/one/1", MISSING),
        ([b"x"], "/one/1", UNKNOWN),
        ([b"s-1", b"s-1"], "/one/1", UNKNOWN),
        ([], "/open/1", None),
        ([b"s-1"], "/open/1", "sales"),
        ([b"x"], "/open/1", None),
        ([b"s-1", b"l-1"], "/open/1", None),
        ([b"x"], "/none/1", (404, RefusalReason.NO_ROUTE)),
    ],
)
def test_workspace_is_that_of_the_key(digests, path, expected):
    router = make_router(SALES, LEGAL)
    assert identified(router.open(request(*digests, path=path))) == expected


def test_requests_need_no_key_if_the_configuration_has_no_workspaces():
    assert identified(make_router().open(request(b"x"))) is None


def test_daemon_without_configuration_refuses_no_key():
    router = Router(RoutingWorld("north", RoutingLimits()))
    assert identified(router.open(request(b"x"))) == (503, RefusalReason.NOT_READY)


def test_key_is_known_from_the_version_that_adds_it_to_the_version_that_drops_it():
    router = make_router(LEGAL)
    assert identified(router.open(request(b"s-1"))) == UNKNOWN
    apply(router, 2, (LEGAL, SALES))
    assert identified(router.open(request(b"s-1"))) == "sales"
    apply(router, 3, (LEGAL, replace(SALES, key_digests=frozenset([b"s-2"]))))
    assert identified(router.open(request(b"s-1"))) == UNKNOWN
    apply(router, 2, (LEGAL, SALES))
    assert identified(router.open(request(b"s-1"))) == UNKNOWN


def test_key_of_several_workspaces_belongs_to_the_first():
    other = Workspace("other", frozenset([b"s-1"]))
    assert identified(make_router(SALES, other).open(request(b"s-1"))) == "sales"


@pytest.mark.parametrize(
    ("fail_closed", "age_s", "digests", "path", "expected"),
    [
        (True, 4.9, [b"s-1"], "/one/1", "sales"),
        (True, 5.0, [b"s-1"], "/one/1", DOUBTFUL),
        (True, 5.0, [b"x"], "/one/1", DOUBTFUL),
        (True, 5.0, [], "/one/1", MISSING),
        (True, 5.0, [b"s-1"], "/open/1", None),
        (False, 900.0, [b"s-1"], "/one/1", "sales"),
    ],
)
def test_keys_are_refused_without_news_of_the_store_if_so_set(
    fail_closed, age_s, digests, path, expected
):
    router = make_router(SALES, fail_closed=fail_closed)
    answer = router.open(request(*digests, path=path, at=NOW + age_s))
    assert identified(answer) == expected
    if expected == DOUBTFUL:
        assert answer.retry_after_s > 0


@pytest.mark.parametrize(
    ("name", "path", "expected"),
    [
        ("sales", "/one/1", "sales"),
        ("", "/one/1", UNKNOWN),
        ("gone", "/one/1", UNKNOWN),
        ("", "/open/1", None),
        ("gone", "/open/1", UNKNOWN),
    ],
)
def test_forwarded_request_has_the_workspace_that_the_other_daemon_names(name, path, expected):
    router = make_router(SALES)
    apply(router, 2, ())
    # The key of the request is not used: the other daemon has sent none.
    answer = router.open_forwarded(request(b"l-1", path=path), 1, name)
    assert identified(answer) == expected


def test_forwarded_request_without_workspaces_needs_no_name():
    assert identified(make_router().open_forwarded(request(), 1, "")) is None
    assert identified(make_router().open_forwarded(request(), 1, "sales")) == UNKNOWN


def test_versions_that_are_no_longer_kept_count_as_having_workspaces():
    router = make_router()
    catalog = router.world.catalog
    assert not catalog.has_workspaces(1)
    for version in range(2, KEPT_VERSIONS + 2):
        apply(router, version, (SALES,))
    assert catalog.workspaces(1) is None
    assert catalog.has_workspaces(1)


def test_priority_of_the_workspace_comes_before_that_of_the_route():
    router = make_router(SALES, LEGAL)
    assert router.open(request(b"s-1")).priority == 3
    assert router.open(request(b"l-1")).priority == ROUTE.priority


def test_digests_do_not_appear_in_texts():
    texts = [repr(SALES), repr(request(b"s-1")), repr(WorkspaceIndex([SALES]))]
    assert not any("s-1" in text.replace("request_id", "") for text in texts)
