"""Decoding of the users' documents and settings, and that no other package uses their names."""

import math
import re
import unittest
from pathlib import Path
from typing import Any

import msgspec

from tests.common.node_settings_file import (
    config_document,
    node_settings_document,
    server_document,
)
from tests.common.revisions import rev
from wagtailpoint.limits.allowance import Allowance
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.platform.documents import decode_config, decode_server
from wagtailpoint.platform.settings import decode_node_settings
from wagtailpoint.ports.platform import StoredObject
from wagtailpoint.routing.access import AccessRefusal, check_access
from wagtailpoint.routing.table import RouteKind, SplitPart
from wagtailpoint.routing.workspaces import WorkspacePolicy, key_digest

SOURCES = Path(__file__).parents[2] / "src" / "wagtailpoint"


def stored_object(value, name: str = "main") -> StoredObject:
    return StoredObject("config", name, rev(5), value)


class ConfigTest(unittest.TestCase):
    def test_routes_of_a_host(self) -> None:
        table = decode_config(stored_object(config_document())).unwrap()
        self.assertEqual(table.version, 7)
        release = table.find("ficu95.EXAMPLE", "/look/release/1")
        look = table.find("ficu95.example", "/look/1")
        assert release is not None
        assert look is not None
        self.assertIs(release.kind, RouteKind.NON_IDEMPOTENT)
        self.assertFalse(release.idempotent)
        self.assertEqual(release.home_regions, {"a"})
        self.assertEqual(look.parts, (SplitPart("desk", 90), SplitPart("vault", 10)))
        self.assertEqual((look.timeout_s, look.objective_s, look.max_attempts), (0.8, 0.3, 2))
        self.assertEqual(table.services["desk"].cold_per_s, 10.0)

    def test_home_regions_of_host_and_route_are_intersected(self) -> None:
        document = config_document()
        document["VirtualHosts"][0]["HomeRegions"] = ["a", "b"]
        table = decode_config(stored_object(document)).unwrap()
        home_regions = {route.name: route.home_regions for route in table.hosts["ficu95.example"]}
        self.assertEqual(home_regions, {"r-1": {"a", "b"}, "r-2": {"a"}})

    def test_disjoint_home_regions_allow_no_region(self) -> None:
        """Guards against a route served everywhere as its homes and its host's are disjoint."""
        document = config_document()
        document["VirtualHosts"][0]["HomeRegions"] = ["b"]
        table = decode_config(stored_object(document)).unwrap()
        home_regions = {route.name: route.home_regions for route in table.hosts["ficu95.example"]}
        self.assertEqual(home_regions, {"r-1": {"b"}, "r-2": set()})
        without = decode_config(stored_object(config_document())).unwrap()
        self.assertIsNone(without.hosts["ficu95.example"][1].home_regions)

    def test_workspaces_by_the_digests_of_their_keys(self) -> None:
        tenant = {
            "Name": "huka270",
            "ApiKeys": ["first", "second"],
            "Priority": 1,
            "RatePerS": 214,
            "Burst": 30,
            "HomeRegions": ["a"],
        }
        unlimited = {"Name": "free", "ApiKeys": ["third"], "RatePerS": 0, "Burst": 5}
        without_key = {"Name": "closed", "ApiKeys": []}
        document = config_document(Tenants=[tenant, unlimited, without_key])
        document["VirtualHosts"][0]["PathRoutes"][0]["Public"] = True
        table = decode_config(stored_object(document)).unwrap()
        assert table.workspaces is not None
        complete = WorkspacePolicy("huka270", 1, frozenset("a"), Allowance(214.0, 30.0))
        for key in (b"first", b"second"):
            self.assertEqual(table.workspaces[key_digest(key)], complete)
        self.assertEqual(table.workspaces[key_digest(b"third")], WorkspacePolicy("free"))
        self.assertEqual(len(table.workspaces), 3)
        public = {route.name: route.public for route in table.hosts["ficu95.example"]}
        self.assertEqual(public, {"r-1": True, "r-2": False})

    def test_without_a_list_of_workspaces_callers_need_no_key(self) -> None:
        self.assertIsNone(decode_config(stored_object(config_document())).unwrap().workspaces)

    def test_empty_list_of_workspaces_admits_no_key(self) -> None:
        """Guards against revoked and unknown keys that work once the last workspace is removed."""
        table = decode_config(stored_object(config_document(Tenants=[]))).unwrap()
        self.assertEqual(table.workspaces, {})
        route = table.find("ficu95.example", "/look/1")
        assert route is not None
        for key, refusal in (
            (key_digest(b"revoked"), AccessRefusal.UNKNOWN_KEY),
            (None, AccessRefusal.NO_KEY),
        ):
            self.assertIs(check_access(table, route, key, proved=True), refusal)
        self.assertIsNone(check_access(table, route._replace(public=True), None, proved=True))

    def test_null_is_no_list_of_workspaces(self) -> None:
        """Guards against an empty list that its writer encodes as null and that opens routes."""
        error = decode_config(stored_object(config_document(Tenants=None))).unwrap_err()
        self.assertIn("Tenants", str(error))

    def test_keys_do_not_appear_in_representations_or_errors(self) -> None:
        """Guards against a key in a log line or an error."""
        tenant = {"Name": "w", "ApiKeys": ["secret-key"]}
        table = decode_config(stored_object(config_document(Tenants=[tenant]))).unwrap()
        self.assertNotIn("secret-key", repr(table))
        wrong = {"Name": "two words", "ApiKeys": ["secret-key"]}
        error = decode_config(stored_object(config_document(Tenants=[wrong]))).unwrap_err()
        self.assertNotIn("secret-key", str(error))

    def test_routes_of_a_host_with_two_entries_are_merged(self) -> None:
        """Guards against 404 for the routes of a host that has several entries."""
        document = config_document()
        (host,) = document["VirtualHosts"]
        added = {**host["PathRoutes"][0], "Name": "r-3", "PathPrefix": "/look/release/new/"}
        document["VirtualHosts"].append({"Host": "FICU95.example", "PathRoutes": [added]})
        table = decode_config(stored_object(document)).unwrap()
        for path, name in (("/look/1", "r-1"), ("/look/release/1", "r-2")):
            route = table.find("ficu95.example", path)
            assert route is not None
            self.assertEqual(route.name, name)
        self.assertEqual(table.hosts["ficu95.example"][0].name, "r-3")

    def test_invalid_configuration_names_the_field(self) -> None:
        for changes, expected in (
            ({"Version": "seven"}, "main"),
            ({"Version": "f" * 5000}, "main"),
            ({"Version": "-1"}, "main"),
            ({"Limits": {}}, "MaxHeaderBytes"),
            ({"VirtualHosts": [{"Host": "h", "PathRoutes": [{"Name": "r"}]}]}, "PathPrefix"),
        ):
            error = decode_config(stored_object(config_document(**changes))).unwrap_err()
            self.assertIn(expected, str(error))

    def test_unknown_fields_are_ignored(self) -> None:
        self.assertTrue(decode_config(stored_object(config_document(New=1))).is_ok())


class ServerEntryTest(unittest.TestCase):
    def decode(self, value):
        return decode_server(stored_object(value, "i-1"), failure_domains=("a-1", "a-2", "b-1"))

    def test_fields(self) -> None:
        value = server_document("10.1.2.3:80", State="draining", ColdLeftS=1.5, Sequence=4, born=9)
        entry, sequence = self.decode(value).unwrap()
        self.assertEqual((entry.server_id, entry.draining, entry.cold_left_s), ("i-1", True, 1.5))
        self.assertEqual((entry.address.address, entry.address.port), ("10.1.2.3", 80))
        self.assertEqual((entry.started_ms, sequence), (9, 4))

    def test_invalid_entry(self) -> None:
        for value in (None, {}, server_document("nowhere")):
            self.assertTrue(self.decode(value).is_err())

    def test_entries_that_no_backend_server_wrote(self) -> None:
        """The store is open to any writer; an entry without a usable backend server is an error."""
        for changes in (
            {"State": "resting"},
            {"State": 1},
            {"Zone": "elsewhere"},
            {"Zone": None},
            {"Service": ""},
            {"Service": ["desk"]},
            {"MaxConcurrency": 0},
            {"MaxConcurrency": -3},
            {"MaxConcurrency": 10**9},
            {"MaxConcurrency": "3"},
            {"MaxConcurrency": True},
            {"ColdLeftS": -1},
            {"ColdLeftS": 1e300},
            {"Sequence": -1},
            {"Sequence": 1.5},
            {"born": "yesterday"},
            {"born": 1.5},
            {"born": -1},
            {"born": 1_790_000_000_000_000_000},
            {"born": 2**62},
            {"Address": "10.1.2.3:0"},
            {"Address": "10.1.2.3:99999"},
            {"Address": "10.1.2.300:80"},
            {"Address": "10.1.2.3:" + "9" * 5000},
            {"Address": "10.1.2.3:٨٠"},
            {"Address": "10.1.2.3:-80"},
            {"Address": "10.1.2.3:80 "},
            {"Address": "10.1.2:80"},
            {"Address": "0x0a.1.2.3:80"},
            {"Address": "desk.example:80"},
            {"Address": "[::1]:80"},
            {"Address": "\x0010.1.2.3:80"},
            {"Address": ":80"},
            {"Address": 80},
            {"Service": 10**400},
            {"ColdLeftS": 10**400},
            {"ColdLeftS": float("nan")},
        ):
            value = server_document("10.1.2.3:80") | changes
            self.assertTrue(self.decode(value).is_err(), changes)

    def test_errors_have_a_limited_length(self) -> None:
        """Guards against log lines as long as the entry that they are about."""
        long = "x" * 100_000
        for changes in ({"Address": long}, {"Zone": long}, {"State": long}, {long: 1, "Zone": 1}):
            error = self.decode(server_document("10.1.2.3:80") | changes).unwrap_err()
            self.assertLess(len(str(error)), 500)

    def test_missing_fields(self) -> None:
        complete = server_document("10.1.2.3:80")
        self.assertTrue(self.decode(complete).is_ok())
        for name in ("Service", "Address", "Zone", "MaxConcurrency", "State"):
            incomplete = {key: value for key, value in complete.items() if key != name}
            self.assertTrue(self.decode(incomplete).is_err(), name)


class SettingsTest(unittest.TestCase):
    def document(self):
        return node_settings_document(store=Endpoint("10.0.0.1", 8142), seeds=("10.1.0.1:8146",))

    def test_fields(self) -> None:
        settings = decode_node_settings(msgspec.json.encode(self.document())).unwrap()
        self.assertEqual((settings.name, settings.region), ("entry-1", "a"))
        self.assertEqual(settings.store, Endpoint("10.0.0.1", 8142))
        self.assertEqual(settings.seeds, (Endpoint("10.1.0.1", 8146),))
        self.assertEqual(settings.bounds.retry_slack, 58)

    def test_key_lag_is_bounded_only_if_strict(self) -> None:
        def key_lag_s(**bounds: Any) -> float:
            document = self.document()
            bounds_document = document["Terms"]["Bounds"]
            document["Terms"]["Bounds"] = {
                name: value
                for name, value in bounds_document.items()
                if not name.startswith("Revoke")
            } | bounds
            settings = decode_node_settings(msgspec.json.encode(document)).unwrap()
            return settings.bounds.key_lag_max_s

        self.assertEqual(key_lag_s(RevokeS=5, RevokeStrict=True), 5.0)
        self.assertEqual(key_lag_s(RevokeS=5, RevokeStrict=False), math.inf)
        self.assertEqual(key_lag_s(), math.inf)

    def test_capacity_by_processor_and_link(self) -> None:
        def capacity(**limits: Any) -> float:
            document = self.document()
            document["Self"]["Limits"] = {"MaxFds": 1024, **limits}
            return decode_node_settings(msgspec.json.encode(document)).unwrap().capacity

        self.assertAlmostEqual(capacity(CpuShare=0.717, CpuCores=3, LinkMbps=200), 2.151)
        self.assertAlmostEqual(capacity(CpuShare=0.43, CpuCores=1, LinkMbps=3), 0.1)
        self.assertEqual(capacity(), 1.0)
        self.assertEqual(capacity(LinkMbps=None), 1.0)

    def test_out_of_range_limits_are_refused(self) -> None:
        for limits in ({"CpuShare": 0}, {"CpuCores": -2}, {"CpuShare": 1e9}, {"LinkMbps": 0}):
            document = self.document()
            document["Self"]["Limits"] = {"MaxFds": 1024, **limits}
            (mistake,) = decode_node_settings(msgspec.json.encode(document)).unwrap_err().mistakes
            self.assertIn(next(iter(limits)), mistake.path)

    def test_every_mistake_is_named(self) -> None:
        document = self.document()
        del document["Self"]["Zone"]
        document["Network"]["Zones"] = 7
        del document["Platform"]
        mistakes = decode_node_settings(msgspec.json.encode(document)).unwrap_err().mistakes
        named = [mistake.path for mistake in mistakes]
        self.assertEqual(named, ["Self", "Network.Zones", "Platform"])
        self.assertIn("Zone", mistakes[0].given)

    def test_invalid_json_and_addresses(self) -> None:
        self.assertTrue(decode_node_settings(b"{").is_err())
        self.assertTrue(decode_node_settings(b"[]").is_err())
        document = self.document()
        document["Network"]["ListenAddrs"]["FrontAddr"] = "nowhere"
        self.assertIn("nowhere", str(decode_node_settings(msgspec.json.encode(document)).err()))


class BoundaryTest(unittest.TestCase):
    def test_wire_names_are_used_in_the_platform_package_only(self) -> None:
        """The names are taken from the source of the package: wire fields, headers, paths."""
        adapter = "\n".join(path.read_text() for path in (SOURCES / "platform").glob("*.py"))
        fields = set(re.findall(r"^    ([A-Z][A-Za-z]+): ", adapter, re.MULTILINE))
        headers = set(re.findall(r'b"(x-[a-z-]+)"', adapter))
        self.assertGreater(len(fields), 30)
        self.assertGreater(len(headers), 5)
        # Only compound names: single words also occur in class names elsewhere.
        distinctive = {name for name in fields if re.search(r"[a-z][A-Z]", name)} | headers
        distinctive |= {"/api/ready", "/api/resolve", "/api/objects"}
        for path in SOURCES.rglob("*.py"):
            if path.parent.name == "platform":
                continue
            text = path.read_text()
            for name in distinctive - {"RetryAfter"}:
                self.assertIsNone(re.search(rf"\b{re.escape(name)}\b", text), f"{name} in {path}")
