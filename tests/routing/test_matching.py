from __future__ import annotations

import pytest

from marigoldwalk.routing.matching import RouteIndex

from .simulation import HOST, single_route

ROUTES = [
    single_route(name="short", prefix="/a/"),
    single_route(name="long", prefix="/a/b/"),
    single_route(name="root", prefix="/", host="other.example"),
]


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        (HOST, "/a/1", "short"),
        (HOST, "/a/b/1?x=/c/", "long"),
        (HOST, "/a/b", "short"),
        (HOST, "/a", None),
        (HOST, "/c/1", None),
        (f"{HOST.upper()}:80", "/a/b/", "long"),
        ("other.example", "/anything", "root"),
        ("unknown.example", "/a/1", None),
    ],
)
def test_the_route_with_the_longest_prefix_of_the_host_is_chosen(host, path, expected):
    route = RouteIndex(ROUTES).find(host, path)
    assert (route.name if route else None) == expected
