"""When callers of requests without room are told to return, and where requests may wait."""

import json
import unittest
from random import Random

from tests.common.node_settings_file import node_settings_document
from wagtailpoint.daemon.queueing_switch import QueueingSwitch
from wagtailpoint.node_settings import Endpoint, ServiceBounds
from wagtailpoint.platform.settings import decode_node_settings
from wagtailpoint.proxy.retry_after import MIN_RETRY_AFTER_S, RoomRetryAfter


class RoomRetryAfterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.retry_after = RoomRetryAfter(random=Random(1))
        for number in range(400):
            self.retry_after.record_found("desk", number / 40)
        self.now = 10.0

    def next_s(self, *, priority: int = 1, waiting: int = 0, remaining_s: float = 60.0) -> float:
        """Return the time told at 40 requests per second that find room."""
        told = self.retry_after.next_s(
            "desk",
            priority=priority,
            waiting_before=waiting,
            remaining_s=remaining_s,
            now=self.now,
        )
        assert told is not None
        return told

    def test_nothing_is_said_without_a_known_rate(self) -> None:
        unknown = RoomRetryAfter(random=Random(1))
        unknown.record_found("desk", 0.0)
        for service in ("desk", "vault"):
            told = unknown.next_s(service, priority=1, waiting_before=9, remaining_s=5.0, now=0.1)
            self.assertIsNone(told)

    def test_those_who_wait_come_first(self) -> None:
        self.assertAlmostEqual(self.next_s(waiting=40), 1.0, delta=0.35)

    def test_callers_return_one_after_the_other(self) -> None:
        """Guards against refused callers who all return at once and are refused again."""
        told = [self.next_s() for _ in range(80)]
        self.assertEqual(told[0], MIN_RETRY_AFTER_S)
        self.assertAlmostEqual(told[39], 1.0, delta=0.35)
        self.assertAlmostEqual(told[79], 2.0, delta=0.6)

    def test_urgent_caller_is_not_behind_less_urgent_ones(self) -> None:
        for _ in range(80):
            self.next_s(priority=2)
        self.assertEqual(self.next_s(priority=0), MIN_RETRY_AFTER_S)
        self.assertGreater(self.next_s(priority=3), 1.0)

    def test_a_third_of_the_remaining_time_is_the_limit(self) -> None:
        """Guards against callers who give up since the time told is longer than they accept."""
        for _ in range(500):
            self.assertLessEqual(self.next_s(remaining_s=3.0), 1.0)
        self.assertLessEqual(self.next_s(remaining_s=0.09), 0.03)
        self.assertEqual(self.next_s(remaining_s=-1.0), 0.0)
        self.now += 3.0
        self.assertLess(self.next_s(remaining_s=3.0), 0.5)


class QueueingSwitchTest(unittest.TestCase):
    def decode(self, **terms: object) -> ServiceBounds:
        document = node_settings_document(store=Endpoint("127.0.0.1", 1))
        document["Terms"].update(terms)
        return decode_node_settings(json.dumps(document).encode()).unwrap().bounds

    def test_off_unless_settings_list_it(self) -> None:
        """Guards against a change of behaviour in deployments that did not ask for it."""
        off: tuple[dict[str, object], ...] = (
            {},
            {"Contracts": None},
            {"Contracts": []},
            {"Contracts": ["other", 1, {}]},
        )
        odd: tuple[dict[str, object], ...] = (
            {"Contracts": "pressure"},
            {"Contracts": {"pressure": 1}},
        )
        for terms in off + odd:
            self.assertFalse(self.decode(**terms).queues_requests, terms)
        self.assertTrue(self.decode(Contracts=["other", "pressure"]).queues_requests)

    def test_reported_pace_enables_its_service_only(self) -> None:
        bounds = self.decode()
        paced: set[str] = set()
        switch = QueueingSwitch(bounds=lambda: bounds, reports_pace=paced.__contains__)
        self.assertFalse(switch.is_on("desk"))
        paced.add("desk")
        self.assertTrue(switch.is_on("desk"))
        self.assertFalse(switch.is_on("vault"))
        bounds = bounds._replace(queues_requests=True)
        self.assertTrue(switch.is_on("vault"))
