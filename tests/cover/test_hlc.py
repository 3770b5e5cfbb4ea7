"""The hybrid logical clock and the timeline."""

import unittest

from tests.common.fake_clock import FakeClock
from wagtailpoint.observe.hlc import HybridClock, Stamp, parse_stamp
from wagtailpoint.observe.timeline import Timeline, merge_timelines


class HybridClockTest(unittest.TestCase):
    def setUp(self) -> None:
        self.wall = FakeClock()
        self.clock = HybridClock(wall=self.wall.wall)

    def test_stamps_rise_while_the_wall_clock_stops_or_goes_back(self) -> None:
        first = self.clock.now()
        second = self.clock.now()
        self.wall.now -= 5
        self.assertLess(first, second)
        self.assertLess(second, self.clock.now())

    def test_effect_sorts_after_a_cause_stamped_by_a_clock_ahead(self) -> None:
        cause = Stamp(self.clock.now().wall_ms + 5_000, 7)
        self.clock.merge(cause)
        self.assertLess(cause, self.clock.now())

    def test_stamp_far_ahead_is_ignored(self) -> None:
        before = self.clock.now()
        self.clock.merge(Stamp(before.wall_ms + 3_600_000, 0))
        self.assertLess(self.clock.now().wall_ms, before.wall_ms + 1000)

    def test_text_form_sorts_like_the_stamp_and_can_be_parsed(self) -> None:
        stamps = [Stamp(1_700_000_000_000, 9), Stamp(1_700_000_000_000, 10)]
        self.assertEqual(sorted(map(str, stamps)), [str(stamp) for stamp in stamps])
        self.assertEqual([parse_stamp(str(stamp)) for stamp in stamps], stamps)
        with self.assertRaisesRegex(ValueError, "expected a stamp"):
            parse_stamp("yesterday")


class TimelineTest(unittest.TestCase):
    def test_keeps_the_newest_events_and_merges_by_stamp(self) -> None:
        wall = FakeClock()
        clocks = [HybridClock(wall=wall.wall) for _ in range(2)]
        timelines = [
            Timeline(clock=clock, instance=f"127.0.0.{number}", max_events=2)
            for number, clock in enumerate(clocks, start=1)
        ]
        for event in ("first", "second", "third"):
            timelines[0].record(event, version=4)
        start = Stamp(0, 0)
        kept = timelines[0].since(start)
        self.assertEqual([event.event for event in kept], ["second", "third"])
        clocks[1].merge(kept[-1].stamp)
        timelines[1].record("effect")
        merged = merge_timelines([timelines[1].since(start), kept])
        self.assertEqual([event.event for event in merged], ["second", "third", "effect"])
        self.assertEqual([event.event for event in timelines[0].since(kept[0].stamp)], ["third"])
        self.assertIn("instance=127.0.0.1 event=third version=4", str(kept[1]))
