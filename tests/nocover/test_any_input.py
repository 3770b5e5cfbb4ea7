"""The checks of settings and objects return a result for any JSON value and never raise.

An exception would stop the instance that reads such an object, instead of letting it keep its last
valid configuration.
"""

import copy
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from tests.cover.test_compile import OBJECTS
from tests.cover.test_settings import SETTINGS
from wagtailpoint.config.compile import compile_config
from wagtailpoint.settings import check_settings

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=10)
    | st.just(10**400)
    | st.sampled_from(["${group}", "${}", "${x", "main", "desk", "", "/", "127.0.0.1"]),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)


def paths_in(value: Any) -> list[list[Any]]:
    """Return the path to every value inside a JSON value."""
    found: list[list[Any]] = []
    steps = value.items() if isinstance(value, dict) else enumerate(value)
    for step, inner in steps:
        found.append([step])
        if isinstance(inner, dict | list):
            found += [[step, *rest] for rest in paths_in(inner)]
    return found


def with_value(value: Any, path: list[Any], new: Any) -> Any:
    """Return a copy with one value replaced."""
    changed = copy.deepcopy(value)
    target = changed
    for step in path[:-1]:
        target = target[step]
    target[path[-1]] = new
    return changed


class AnyInputTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(path=st.sampled_from(paths_in(OBJECTS)), new=JSON)
    def test_objects(self, path: list[Any], new: Any) -> None:
        result = compile_config(version=1, objects=with_value(OBJECTS, path, new))
        if isinstance(result, Err):
            self.assertTrue(result.err_value.mistakes)
            self.assertTrue(all(mistake.path for mistake in result.err_value.mistakes))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(path=st.sampled_from(paths_in(SETTINGS)), new=JSON)
    def test_settings(self, path: list[Any], new: Any) -> None:
        check_settings(with_value(SETTINGS, path, new))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(objects=st.dictionaries(st.text(max_size=12) | st.just("workspace/x"), JSON))
    def test_any_objects(self, objects: dict[str, Any]) -> None:
        compile_config(version=1, objects=objects)
