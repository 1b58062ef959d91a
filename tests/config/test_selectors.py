from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldwalk.config.selectors import SelectorError, parse_selector

KEYS = st.sampled_from(["app", "tier", "zone"])
VALUES = st.sampled_from(["a", "b", "c", "in", "notin"])
LABELS = st.dictionaries(KEYS, VALUES)


@st.composite
def requirements(draw):
    """Draw the text of a requirement together with an equivalent predicate."""
    key = draw(KEYS)
    value = draw(VALUES)
    values = draw(st.lists(VALUES, min_size=1, max_size=3))
    listed = f"({', '.join(values)})"
    return draw(
        st.sampled_from(
            [
                (f"{key}={value}", lambda labels: labels.get(key) == value),
                (f"{key} == {value}", lambda labels: labels.get(key) == value),
                (f"{key}!={value}", lambda labels: labels.get(key) != value),
                (f"{key} in {listed}", lambda labels: labels.get(key) in values),
                (f"{key} notin {listed}", lambda labels: labels.get(key) not in values),
                (key, lambda labels: key in labels),
                (f"!{key}", lambda labels: key not in labels),
            ]
        )
    )


@settings(derandomize=True, deadline=None)
@given(st.lists(requirements(), min_size=1, max_size=4), LABELS)
def test_a_selector_matches_if_all_its_requirements_are_met(parts, labels):
    selector = parse_selector(" , ".join(text for text, _ in parts))
    assert selector.matches(labels) == all(predicate(labels) for _, predicate in parts)


@settings(derandomize=True, deadline=None)
@given(st.text(alphabet="ab=!,() innot$\n", max_size=20))
def test_any_text_is_parsed_or_refused_with_a_position_inside_the_text(text):
    position = 1
    try:
        parse_selector(text)
    except SelectorError as exc:
        position = exc.position
    assert 1 <= position <= len(text) + 1


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "Expected a label's key, found the end at character 1"),
        ("app=", "Expected a value, found the end at character 5"),
        ("app=a,", "Expected a label's key, found the end at character 7"),
        ("zone in a", "Expected '(', found 'a' at character 9"),
        ("zone in (a b)", "Expected ',' or ')', found 'b' at character 12"),
        ("app=a b", "Expected ',' or the end, found 'b' at character 7"),
        ("app = $x", "Unexpected '$' at character 7"),
    ],
)
def test_a_syntax_error_names_its_position(text, message):
    with pytest.raises(SelectorError) as caught:
        parse_selector(text)
    assert str(caught.value) == message
