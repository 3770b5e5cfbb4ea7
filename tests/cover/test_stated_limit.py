"""Limits that backend servers state: values, changes, and outdated answers."""

import unittest
from collections.abc import Awaitable, Callable

import trio
from loguru import logger
from result import Err, Ok
from trio.testing import MockClock

from wagtailpoint.limits.stated_limit import StatedLimit, StatedLimits, read_limit
from wagtailpoint.observe.metrics import Metrics

NAME = b"server-limit"
SERVER = "i-1/0"


class ReadLimitTest(unittest.TestCase):
    def read(self, *values: bytes) -> object:
        return read_limit([(b"x-other", b"7"), *((NAME, value) for value in values)], NAME)

    def test_decimal_numbers(self) -> None:
        for value, expected in ((b"4.8", 4.8), (b" 12 ", 12.0), (b".5", 0.5), (b"3.", 3.0)):
            self.assertEqual(self.read(value), Ok(expected))

    def test_answer_without_the_header_states_no_limit(self) -> None:
        self.assertEqual(self.read(), Ok(None))

    def test_lowest_of_several_values_counts(self) -> None:
        """Guards against an exceeded limit if an intermediary joins or repeats the header."""
        self.assertEqual(self.read(b"9", b"4.5"), Ok(4.5))
        self.assertEqual(self.read(b"4.5, 9"), Ok(4.5))

    def test_zero_and_huge_values(self) -> None:
        self.assertEqual(self.read(b"0"), Ok(0.0))
        self.assertEqual(self.read(b"999999999999"), Ok(999999999999.0))

    def test_malformed_values(self) -> None:
        """Guards against a malformed value that lifts a limit, or means none, as ``inf`` does."""
        for value in (b"", b"inf", b"nan", b"-1", b"1e3", b"four", b"1 2", b"1" * 400, b"3;q=1"):
            self.assertIsInstance(self.read(value), Err, value)
            self.assertIsInstance(self.read(b"4", value), Err, value)


class Announced:
    """Records the announced backend servers."""

    def __init__(self) -> None:
        self.servers: list[str] = []

    def announce(self, server: str) -> None:
        self.servers.append(server)


class StatedLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.known_servers = {SERVER}
        self.metrics = Metrics()
        self.limits = StatedLimits(
            is_known=lambda server: server in self.known_servers, metrics=self.metrics
        )
        self.announced = Announced()
        self.limits.announce_to(self.announced)

    def run_with(self, test: Callable[[], Awaitable[None]]) -> None:
        trio.run(test, clock=MockClock(autojump_threshold=0))

    async def answer(self, *values: bytes, took_s: float = 0.1) -> None:
        """Record the answer to a request that took some time."""
        await trio.sleep(0.001)
        sent_at = trio.current_time()
        await trio.sleep(took_s)
        headers = [(NAME, value) for value in values]
        self.limits.record_answer(SERVER, headers, NAME, sent_at)

    def test_limit_is_stated_changed_and_lifted(self) -> None:
        async def test() -> None:
            for values, expected in (((b"4",), 4.0), ((b"2",), 2.0), ((b"9",), 9.0), ((), None)):
                await self.answer(*values)
                self.assertEqual(self.limits.per_s(SERVER), expected)
            self.assertEqual(self.announced.servers, [SERVER] * 4)
            self.assertEqual(self.metrics.counts["limit.stated.answer"], 3)
            self.assertEqual(self.metrics.counts["limit.lifted.answer"], 1)

        self.run_with(test)

    def test_unchanged_statement_is_not_announced_again(self) -> None:
        async def test() -> None:
            for _ in range(5):
                await self.answer(b"4")
            self.assertEqual(self.announced.servers, [SERVER])

        self.run_with(test)

    def test_answer_that_is_older_than_the_statement_does_not_lift_it(self) -> None:
        """Guards against a burst when an answer overtakes one that was sent before it."""

        async def test() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.answer)
                await self.answer(b"4", took_s=0.05)
            self.assertEqual(self.limits.per_s(SERVER), 4.0)
            await self.answer()
            self.assertIsNone(self.limits.per_s(SERVER))

        self.run_with(test)

    def test_malformed_value_changes_nothing(self) -> None:
        async def test() -> None:
            await self.answer(b"4")
            await self.answer(b"many")
            self.assertEqual(self.limits.per_s(SERVER), 4.0)
            self.assertEqual(self.metrics.counts["limit.unreadable"], 1)

        self.run_with(test)

    def test_newer_statement_of_a_peer_replaces_an_older_one(self) -> None:
        async def test() -> None:
            await self.answer(b"4")
            self.limits.apply([StatedLimit(SERVER, 1, None)])
            self.assertEqual(self.limits.per_s(SERVER), 4.0)
            self.limits.apply([StatedLimit(SERVER, 2, None)])
            self.assertIsNone(self.limits.per_s(SERVER))
            self.limits.apply([StatedLimit(SERVER, 1, 4.0)])
            self.assertIsNone(self.limits.per_s(SERVER))
            self.assertEqual(self.announced.servers, [SERVER])

        self.run_with(test)

    def test_lower_one_of_two_statements_at_the_same_revision_holds(self) -> None:
        """Guards against instances that disagree for ever after they saw different answers."""
        for order in ((2.0, 3.0, None), (None, 3.0, 2.0), (3.0, None, 2.0)):

            async def test(order: tuple[float | None, ...] = order) -> None:
                for per_s in order:
                    self.limits.apply([StatedLimit(SERVER, 5, per_s)])

            self.run_with(test)
            self.assertEqual(self.limits.per_s(SERVER), 2.0)
            self.limits.forget(SERVER)

    def test_restarted_server_states_its_limit_anew(self) -> None:
        """Guards against a limit of a former start that a peer brings back."""

        async def test() -> None:
            await self.answer(b"4")
            self.limits.forget(SERVER)
            self.known_servers.clear()
            self.limits.apply([StatedLimit(SERVER, 3, 4.0)])
            self.assertEqual(self.limits.all, [])
            self.assertEqual(self.limits.in_force, 0)

        self.run_with(test)

    def test_late_answer_of_a_server_that_is_gone_is_ignored(self) -> None:
        """Guards against a limit that stays in force, since its server was removed before."""

        async def test() -> None:
            await self.answer(b"4")
            self.limits.forget(SERVER)
            self.known_servers.clear()
            await self.answer(b"4")
            self.assertEqual(self.limits.all, [])
            self.assertEqual(self.announced.servers, [SERVER])

        self.run_with(test)


if __name__ == "__main__":
    unittest.main()
