from __future__ import annotations

import json

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldwalk.config.acceptance import Rejected, accept
from marigoldwalk.config.view import View
from marigoldwalk.config.yaml_text import MAX_TEXT_BYTES

from .documents_for_tests import document, group, server


def as_yaml(value: object) -> str:
    return yaml.safe_dump(value, sort_keys=False)


def problems(value: object) -> list[tuple[str, str]]:
    verdict = accept(as_yaml(value))
    assert isinstance(verdict, Rejected)
    return [(problem.path, problem.message) for problem in verdict.problems]


def test_a_document_becomes_a_view():
    exclusions = [{"select": "domain=bud-a", "reason": "maintenance"}]
    view = accept(as_yaml(document(exclusions=exclusions)))
    assert isinstance(view, View)
    assert view.revision == 3
    assert view.excluded == {"s-0", "s-3"}
    assert view.group_by_name["kiosk-finder"].index == "kiosks"
    assert view.group_by_name["kiosk-finder"].servers == {f"s-{number}" for number in range(6)}
    assert view.block_of_server["s-5"].name == "kiosks/0/0"


def test_the_verdict_depends_on_the_text_alone():
    text = as_yaml(document())
    first = accept(text)
    accept.cache_clear()
    again = accept(text)
    assert again is not first
    assert again == first
    assert accept(text + "\n").digest != first.digest


TEXT = st.text(st.characters(max_codepoint=0x2FF), max_size=12)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXT,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=8,
)
CHANGES = st.dictionaries(
    st.sampled_from(["revision", "servers", "groups", "exclusions", "block_services", "other"]),
    VALUES,
    max_size=2,
)


@settings(derandomize=True, deadline=None)
@given(CHANGES)
def test_json_and_yaml_forms_get_the_same_verdict(changes):
    value = document(**changes)
    from_json = accept(json.dumps(value))
    from_yaml = accept(as_yaml(value))
    assert bool(from_json) == bool(from_yaml)
    if isinstance(from_yaml, View):
        assert from_json.groups == from_yaml.groups
        assert from_json.blocks == from_yaml.blocks


@settings(derandomize=True, deadline=None)
@given(TEXT | VALUES.map(repr) | st.text(alphabet="{}[]:-,&*!|>'\"\n\t a1?%@`#"))
def test_no_text_raises(text):
    assert isinstance(accept(text), Rejected)


@pytest.mark.parametrize(
    ("text", "line", "message"),
    [
        ("", 1, "The text is empty."),
        ("revision: 1\nrevision: 2\n", 2, "The key stands twice."),
        ('{"revision": 1,\n "revision": 2}', 2, "The key stands twice."),
        ("a: &x [1]\nb: *x\n", 1, "Aliases are not allowed."),
        ("a: 1\n<<: {b: 1}\n", 2, "Keys must be strings."),
        ("a: 0x10\n", 1, "'0x10' is ambiguous; write true, false, null, a decimal or quotes."),
        ("a: 010\n", 1, "'010' is ambiguous; write true, false, null, a decimal or quotes."),
        ("a: 2026-01-01\n", 1, "is not allowed; quote the value if it is a string."),
        ("a: !!python/name:os.system x\n", 1, "is not allowed"),
        ("a: [1\nb: 2\n", 2, "Not valid YAML"),
        ("a: " + "[" * 50 + "]" * 50, 1, "Nested deeper than 16 levels."),
        ("[" * 500_000, 1, "Not valid YAML: exceeded maximum nesting depth."),
        ('{"a":' * 150_000, 1, "Not valid YAML: exceeded maximum nesting depth."),
        ("a: '\ud800'", 0, "The text is not valid Unicode."),
        ("a: \x00", 0, "Not valid YAML"),
        ("x" * (MAX_TEXT_BYTES + 1), 0, f"at most {MAX_TEXT_BYTES} are read."),
    ],
)
def test_unreadable_texts_are_rejected_with_a_line(text, line, message):
    verdict = accept(text)
    assert isinstance(verdict, Rejected)
    assert message in verdict.problems[0].message
    assert verdict.problems[0].line == line


def test_each_problem_has_its_path_and_line_number():
    text = as_yaml(document(servers=[server(0), server(1, slots="2", colour="red")]))
    lines = text.splitlines()
    verdict = accept(text)
    found = {problem.path: lines[problem.line - 1].strip() for problem in verdict.problems}
    assert found == {"servers[1].slots": "slots: '2'", "servers[1].colour": "colour: red"}


@pytest.mark.parametrize(
    ("changes", "path", "message"),
    [
        ({"revision": 0}, "revision", "greater than or equal to 1"),
        ({"revision": True}, "revision", "valid integer"),
        ({"servers": [server(0), server(0, address="10.0.0.9:1")]}, "servers[1].name", "used by"),
        ({"servers": [server(0), server(0, name="b")]}, "servers[1].address", "used by servers[0]"),
        ({"servers": [server(0, address="host:1")]}, "servers[0].address", "not an IPv4"),
        ({"servers": [server(0, address="10.0.0.1:0")]}, "servers[0].address", "cannot be 0"),
        ({"servers": [server(0, connections=1)]}, "servers[0].connections", "cannot fill 2 slots"),
        ({"servers": [server(0), server(1, index="b")]}, "servers[1].index", "already belongs"),
        ({"servers": [server(0, labels={"name": "x"})]}, "servers[0].labels.name", "own field"),
        ({"groups": [group(), group()]}, "groups[1].name", "used by groups[0]"),
        ({"groups": [group(select="tier=cold")]}, "groups[0].select", "takes no server"),
        ({"groups": [group(select="tier=")]}, "groups[0].select", "at character 6"),
        ({"groups": [group(merge="best")]}, "groups[0].merge", "'top', 'nearest', 'sum' or 'one'"),
        ({"groups": [group(min_coverage=1.5)]}, "groups[0].min_coverage", "less than or equal"),
        ({"exclusions": [{"select": "", "reason": "x"}]}, "exclusions[0].select", "found the end"),
        ({"exclusions": [{"select": "tier=hot"}]}, "exclusions[0].reason", "required"),
    ],
)
def test_a_problem_is_reported_at_its_field(changes, path, message):
    found = [entry for entry in problems(document(**changes)) if entry[0] == path]
    assert len(found) == 1
    assert message in found[0][1]


def test_a_group_selects_servers_of_only_one_index():
    servers = [server(0), server(1, index="other", service="other")]
    found = problems(document(servers=servers, groups=[group(select="name")]))
    assert found == [
        ("groups[0].select", "The selector takes servers of several indexes: kiosks, other.")
    ]


def test_a_long_list_of_problems_is_truncated():
    found = problems(document(servers=[server(0, slots=0) for _ in range(200)]))
    assert len(found) == 51
    assert found[-1] == ("document", "150 more problems are not listed.")
