"""Keys of callers: which workspace they stand for, what they are refused for."""

import unittest

from tests.common.steering_parts import make_route, make_table
from wagtailpoint.ports.backend import Headers
from wagtailpoint.routing.access import AccessRefusal, check_access
from wagtailpoint.routing.workspaces import (
    WorkspacePolicy,
    abbreviate_digest,
    key_digest,
    parse_key_digest,
)

KEY = b"3fgfwrz56aw63is47qdq"


def authorization(*values: bytes) -> Headers:
    return [(b"host", b"h"), *((b"authorization", value) for value in values)]


class SentKeyTest(unittest.TestCase):
    def test_the_scheme_may_be_written_in_any_case(self) -> None:
        for value in (b"Bearer " + KEY, b"bearer  " + KEY, b" BEARER " + KEY + b" "):
            self.assertEqual(parse_key_digest(authorization(value)), key_digest(KEY), value)

    def test_what_is_no_key(self) -> None:
        for values in ((), (b"",), (b"Bearer",), (b"Bearer ",), (b"Basic " + KEY,), (KEY,)):
            self.assertIsNone(parse_key_digest(authorization(*values)), values)

    def test_two_keys_are_none(self) -> None:
        """Guards against a request that is let in by one key and passed on with the other."""
        self.assertIsNone(parse_key_digest(authorization(b"Bearer " + KEY, b"Bearer other")))

    def test_a_key_with_a_space_is_another_key(self) -> None:
        digest = parse_key_digest(authorization(b"Bearer " + KEY + b" more"))
        self.assertNotEqual(digest, key_digest(KEY))

    def test_bytes_that_are_no_text(self) -> None:
        self.assertIsNotNone(parse_key_digest(authorization(b"Bearer \xff\xfe")))

    def test_the_log_shows_no_key(self) -> None:
        self.assertEqual(len(abbreviate_digest(key_digest(KEY))), 8)
        self.assertEqual(abbreviate_digest(None), "")


class AccessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.homes = WorkspacePolicy("homes", priority=0)
        self.route = make_route()
        self.table = make_table(self.route)._replace(workspaces={key_digest(KEY): self.homes})

    def test_a_known_key_is_its_workspace(self) -> None:
        found = check_access(self.table, self.route, key_digest(KEY), proved=True)
        self.assertEqual(found, self.homes)

    def test_an_unknown_key_and_none_are_refused_for_good(self) -> None:
        for key in (None, key_digest(b"other")):
            found = check_access(self.table, self.route, key, proved=True)
            assert isinstance(found, AccessRefusal)
            self.assertTrue(found.is_final)

    def test_no_key_counts_while_the_configuration_may_be_outdated(self) -> None:
        """Guards against a key that was taken away, and a 401 for one that was added meanwhile."""
        for key in (key_digest(KEY), key_digest(b"other")):
            found = check_access(self.table, self.route, key, proved=False)
            self.assertEqual(found, AccessRefusal.UNPROVED)

    def test_public_routes_and_deployments_without_workspaces_need_no_key(self) -> None:
        self.assertIsNone(check_access(self.table, make_route(public=True), None, proved=False))
        without = make_table(self.route)
        self.assertIsNone(check_access(without, self.route, None, proved=False))


class RouteForWorkspaceTest(unittest.TestCase):
    def test_the_priority_of_the_workspace_goes_first(self) -> None:
        route = make_route(priority=2)
        self.assertEqual(route.for_workspace(WorkspacePolicy("w", priority=0)).priority, 0)
        self.assertIs(route.for_workspace(WorkspacePolicy("w")), route)

    def test_the_homes_of_both_bind(self) -> None:
        """Guards against a request served outside the homes of its workspace or of its route."""
        workspace = WorkspacePolicy("w", home_regions=frozenset("ab"))
        anywhere = make_route().for_workspace(workspace)
        self.assertEqual(anywhere.home_regions, {"a", "b"})
        at_home = make_route(home_regions=frozenset("bc")).for_workspace(workspace)
        self.assertEqual(at_home.home_regions, {"b"})


if __name__ == "__main__":
    unittest.main()
