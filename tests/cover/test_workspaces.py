"""Keys of callers: parsing, the workspace of a key, and refusals."""

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


class KeyParsingTest(unittest.TestCase):
    def test_the_scheme_may_be_written_in_any_case(self) -> None:
        for value in (b"Bearer " + KEY, b"bearer  " + KEY, b" BEARER " + KEY + b" "):
            self.assertEqual(parse_key_digest(authorization(value)), key_digest(KEY), value)

    def test_headers_without_a_key(self) -> None:
        for values in ((), (b"",), (b"Bearer",), (b"Bearer ",), (b"Basic " + KEY,), (KEY,)):
            self.assertIsNone(parse_key_digest(authorization(*values)), values)

    def test_two_keys_are_ignored(self) -> None:
        """Guards against a request that is admitted by one key and forwarded with the other."""
        self.assertIsNone(parse_key_digest(authorization(b"Bearer " + KEY, b"Bearer other")))

    def test_text_after_a_space_belongs_to_the_key(self) -> None:
        digest = parse_key_digest(authorization(b"Bearer " + KEY + b" more"))
        self.assertNotEqual(digest, key_digest(KEY))

    def test_keys_need_not_be_valid_utf_8(self) -> None:
        self.assertIsNotNone(parse_key_digest(authorization(b"Bearer \xff\xfe")))

    def test_the_log_shows_an_abbreviated_digest(self) -> None:
        self.assertEqual(len(abbreviate_digest(key_digest(KEY))), 8)
        self.assertEqual(abbreviate_digest(None), "")


class AccessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.workspace = WorkspacePolicy("homes", priority=0)
        self.route = make_route()
        self.table = make_table(self.route)._replace(workspaces={key_digest(KEY): self.workspace})

    def test_a_known_key_gives_its_workspace(self) -> None:
        found = check_access(self.table, self.route, key_digest(KEY), proved=True)
        self.assertEqual(found, self.workspace)

    def test_an_unknown_or_missing_key_is_refused_finally(self) -> None:
        for key in (None, key_digest(b"other")):
            found = check_access(self.table, self.route, key, proved=True)
            assert isinstance(found, AccessRefusal)
            self.assertTrue(found.is_final)

    def test_all_keys_are_refused_while_the_configuration_may_be_stale(self) -> None:
        """Guards against accepting a revoked key, and against 401 for one that was just added."""
        for key in (key_digest(KEY), key_digest(b"other")):
            found = check_access(self.table, self.route, key, proved=False)
            self.assertEqual(found, AccessRefusal.UNPROVED)

    def test_public_routes_and_deployments_without_workspaces_need_no_key(self) -> None:
        self.assertIsNone(check_access(self.table, make_route(public=True), None, proved=False))
        without = make_table(self.route)
        self.assertIsNone(check_access(without, self.route, None, proved=False))


class RouteForWorkspaceTest(unittest.TestCase):
    def test_the_priority_of_the_workspace_overrides_that_of_the_route(self) -> None:
        route = make_route(priority=2)
        self.assertEqual(route.for_workspace(WorkspacePolicy("w", priority=0)).priority, 0)
        self.assertIs(route.for_workspace(WorkspacePolicy("w")), route)

    def test_the_home_regions_of_both_apply(self) -> None:
        """Guards against serving a request outside its workspace's or its route's home regions."""
        workspace = WorkspacePolicy("w", home_regions=frozenset("ab"))
        anywhere = make_route().for_workspace(workspace)
        self.assertEqual(anywhere.home_regions, {"a", "b"})
        at_home = make_route(home_regions=frozenset("bc")).for_workspace(workspace)
        self.assertEqual(at_home.home_regions, {"b"})


if __name__ == "__main__":
    unittest.main()
