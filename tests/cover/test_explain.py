"""The explanation of a routing decision, and the command that asks for one."""

import unittest
from typing import Any

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.cli import CliTestCase
from tests.common.steering_parts import (
    REGION_OF,
    make_placement,
    make_route,
    make_server,
    make_table,
)
from wagtailpoint.cli.exit_codes import ExitCode
from wagtailpoint.daemon.routing_explainer import ExplainQuery, RoutingExplainer, parse_explain
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.choice import Choice, Demand
from wagtailpoint.placement.placement import Placement
from wagtailpoint.relay.reachability import Reachability
from wagtailpoint.routing.workspaces import WorkspacePolicy

DOMAINS = ("a-1", "a-2", "b-1")
QUERY = ExplainQuery("h", "/r-1/x", "k", "")


class ExplainTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.fleet = Fleet(region_of=REGION_OF)
        self.table = make_table(make_route("r-1"))

    def run_with(self, test) -> None:
        trio.run(test, clock=MockClock(autojump_threshold=0))

    def make_placement(self) -> Placement:
        self.fleet.update(
            make_server(f"i-{number}", failure_domain=DOMAINS[number % 3]) for number in range(12)
        )
        return make_placement(self.fleet)

    def explain(self, placement: Placement, query: ExplainQuery = QUERY) -> dict[str, Any]:
        explainer = RoutingExplainer(
            table=lambda: self.table, placement=placement, reachability=Reachability()
        )
        return explainer.explain(query)

    def demand(self, key: str) -> Demand:
        (route,) = self.table.hosts["h"]
        return Demand(
            route=route,
            service="desk",
            policy=self.table.services["desk"],
            key=f"/r-1/{key}",
            tried=(),
            remaining_s=route.timeout_s,
            objective_remaining_s=route.objective_s,
        )

    def test_explained_server_is_the_one_that_is_chosen(self) -> None:
        """Guards against an explanation by other rules than those of the choice."""

        async def test() -> None:
            placement = self.make_placement()
            for number in range(60):
                key = str(number % 7)
                (service,) = self.explain(placement, QUERY._replace(key=key))["services"]
                choice = placement.choose(self.demand(key))
                if not isinstance(choice, Choice):
                    self.assertIsNone(service["server"])
                    self.assertEqual(service["result"], choice.reason)
                    declined = {entry.server_id: reason for entry, reason, *_ in choice.declined}
                    explained = {c["server_id"]: c["outcome"] for c in service["candidates"]}
                    self.assertLessEqual(declined.items(), explained.items())
                    continue
                self.assertEqual(service["server"], choice.entry.server_id)
                outcomes = [each["outcome"] for each in service["candidates"]]
                self.assertEqual(outcomes.count("chosen"), 1)
                placement.record_send(self.demand(key), choice)

        self.run_with(test)

    def test_explaining_changes_no_later_choice(self) -> None:
        """Guards against explanations that count as requests, or that later choices notice."""

        async def test() -> None:
            asked, unasked = self.make_placement(), make_placement(self.fleet)
            for number in range(60):
                key = str(number % 5)
                for _ in range(20):
                    self.explain(asked, QUERY._replace(key=key))
                choices = [each.choose(self.demand(key)) for each in (asked, unasked)]
                self.assertEqual(choices[0], choices[1])
                for placement, choice in zip((asked, unasked), choices, strict=True):
                    if isinstance(choice, Choice):
                        placement.record_send(self.demand(key), choice)
                await trio.sleep(0.01)

        self.run_with(test)

    def test_servers_that_cannot_be_reached_are_named(self) -> None:
        """Guards against a missing reason where a preferred server is passed over."""

        async def test() -> None:
            placement = self.make_placement()
            (before,) = self.explain(placement)["services"]
            first = next(e for e in self.fleet.entries.values() if e.server_id == before["server"])
            placement.record_unreachable(first)
            (after,) = self.explain(placement)["services"]
            self.assertNotEqual(after["server"], before["server"])
            outcomes = {each["server_id"]: each["outcome"] for each in after["candidates"]}
            self.assertEqual(outcomes[before["server"]], "unreachable")

        self.run_with(test)

    def test_workspace_decides_home_regions_and_priority(self) -> None:
        """Guards against an explanation for another region than the workspace's."""

        async def test() -> None:
            policy = WorkspacePolicy("w", priority=0, home_regions=frozenset(["b"]))
            self.table = self.table._replace(workspaces={b"digest": policy})
            placement = self.make_placement()
            explained = self.explain(placement, QUERY._replace(workspace="w"))
            self.assertEqual(explained["priority"], 0)
            (service,) = explained["services"]
            self.assertEqual({each["failure_domain"] for each in service["candidates"]}, {"b-1"})
            unknown = self.explain(placement, QUERY._replace(workspace="v"))
            self.assertEqual(unknown["result"], "no such workspace")

        self.run_with(test)

    def test_request_without_a_route(self) -> None:
        async def test() -> None:
            explained = self.explain(self.make_placement(), QUERY._replace(host="other"))
            self.assertEqual(explained["result"], "no such route")

        self.run_with(test)

    def test_only_the_page_of_explanations_is_parsed(self) -> None:
        """Guards against scrapes of the metrics that get an explanation."""
        self.assertIsNone(parse_explain("/metrics"))
        self.assertIsNone(parse_explain("/?host=h"))
        target = "/explain?host=h&path=%2Fr-1%2Fx%3Fa%3D1&workspace=w"
        self.assertEqual(parse_explain(target), ExplainQuery("h", "/r-1/x?a=1", "", "w"))


class ExplainCommandTest(CliTestCase):
    ENTRY = ("--entry", "127.0.0.1:8147")

    def test_wrong_arguments_end_with_2_and_ask_nobody(self) -> None:
        for host, path, option in (("h", "r-1", "--path"), ("h/x", "/r-1", "--host")):
            with self.subTest(option=option):
                arguments = ("--host", host, "--path", path, *self.ENTRY)
                text = self.run_cli("explain", *arguments, code=ExitCode.WRONG_INPUT)
                self.assertIn(option, text)
        self.run_cli("explain", "--host", "h", "--path", "/x", code=ExitCode.WRONG_INPUT)
        self.assertEqual(self.asked, [])

    def test_candidates_are_shown_with_their_outcomes(self) -> None:
        candidate = {"server_id": "i-7", "rank": 0, "outcome": "full", "occupancy": 3.5}
        service = {"service": "desk", "result": "no room", "candidates": [candidate]}
        self.answers["127.0.0.1", "/explain"] = {"result": "routed", "services": [service]}
        arguments = ("explain", "--host", "h", "--path", "/x?a=1", "--key", "k", *self.ENTRY)
        text = self.run_cli(*arguments)
        self.assertIn("result: routed", text)
        self.assertRegex(text, r"i-7 +- +0 +full +3\.5")
        asked = "127.0.0.1:8147/explain?host=h&path=%2Fx%3Fa%3D1&key=k&workspace="
        self.assertEqual(self.asked, [asked])
        self.assertEqual(self.run_json(*arguments)["services"], [service])
