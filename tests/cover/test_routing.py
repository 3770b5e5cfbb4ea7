"""Lookup of routes by host and prefix, and weighted splits."""

import unittest
from collections import Counter
from random import Random

from tests.common.steering_parts import make_route, make_table
from wagtailpoint.routing.split import SplitChooser
from wagtailpoint.routing.table import SplitPart


class RouteTableTest(unittest.TestCase):
    def test_longest_prefix_wins(self) -> None:
        short, long = make_route("a"), make_route("b", prefix="/a/b/")
        table = make_table(short, long)
        self.assertEqual(table.find("h", "/a/b/c"), long)
        self.assertEqual(table.find("h", "/a/bc"), short)
        self.assertIsNone(table.find("h", "/a"))

    def test_host_name_ignores_case(self) -> None:
        table = make_table(make_route("a"))
        self.assertIsNotNone(table.find("H", "/a/"))
        self.assertIsNone(table.find("other", "/a/"))

    def test_host_name_may_have_a_port(self) -> None:
        """Guards against 404 for callers that send the port in the host header."""
        table = make_table(make_route("a"))
        self.assertIsNotNone(table.find("h:8144", "/a/"))
        self.assertIsNone(table.find("h:", "/b/"))
        self.assertIsNone(table.find("[::1]:80", "/a/"))


class SplitChooserTest(unittest.TestCase):
    def test_each_part_gets_its_weight_after_few_requests(self) -> None:
        route = make_route(parts=(SplitPart("x", 90), SplitPart("y", 10)))
        chooser = SplitChooser(random=Random(1))
        for _ in range(5):
            counts = Counter(chooser.choose(route) for _ in range(10))
            self.assertEqual(counts, {"x": 9, "y": 1})

    def test_changed_weights_apply_at_once(self) -> None:
        chooser = SplitChooser(random=Random(1))
        first = make_route(parts=(SplitPart("x", 90), SplitPart("y", 10)))
        for _ in range(7):
            chooser.choose(first)
        second = make_route(parts=(SplitPart("x", 50), SplitPart("y", 50)))
        counts = Counter(chooser.choose(second) for _ in range(100))
        self.assertLess(abs(counts["x"] - 50), 5)

    def test_weights_on_another_scale_apply_at_once(self) -> None:
        """Guards against credits from earlier weights that send all requests to one part."""
        for requests in range(10):
            chooser = SplitChooser(random=Random(requests))
            first = make_route(parts=(SplitPart("x", 90), SplitPart("y", 10)))
            for _ in range(requests):
                chooser.choose(first)
            second = make_route(parts=(SplitPart("x", 0.5), SplitPart("y", 0.5)))
            counts = Counter(chooser.choose(second) for _ in range(20))
            self.assertEqual(counts, {"x": 10, "y": 10})

    def test_first_requests_of_many_instances_follow_the_weights(self) -> None:
        """Guards against instances with few requests that all begin with the largest weight."""
        for heavy in (50, 70, 90):
            parts = (SplitPart("x", heavy), SplitPart("y", 100 - heavy))
            route = make_route(parts=parts)
            choosers = [SplitChooser(random=Random(seed)) for seed in range(400)]
            counts = Counter(chooser.choose(route) for chooser in choosers)
            self.assertAlmostEqual(counts["x"] / 400, heavy / 100, delta=0.08)
