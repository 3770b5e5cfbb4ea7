"""Checks of the store beside long answers."""

import unittest
from collections.abc import Awaitable, Callable
from random import Random

import trio
from loguru import logger
from result import Ok, Result
from trio.testing import MockClock

from tests.common.revisions import rev
from wagtailpoint.discovery.store_check import CHECK_INTERVAL_S, CHECK_TIMEOUT_S, StoreCheck
from wagtailpoint.errors import PlatformUnavailable
from wagtailpoint.ports.platform import Page

LINK_MBPS = 5
LARGE_BYTES = 1_000_000


class SlowStore:
    """A store whose answers take some time, and of which long ones may be arriving.

    Attributes:
        answers_after_s: The time until an answer, in seconds.
        page_bytes: The length of an answer.
        checks: When it was read, by trio's clock.
    """

    def __init__(self) -> None:
        self.answers_after_s = 0.0
        self.page_bytes = 0
        self.is_receiving = False
        self.received_at = -1.0
        self.checks: list[float] = []

    async def peek(self, *, kind: str, after: str) -> Result[Page, PlatformUnavailable]:
        self.checks.append(trio.current_time())
        await trio.sleep(self.answers_after_s)
        return Ok(Page(rev(1), [], after, None, self.page_bytes))


class StoreCheckTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.store = SlowStore()
        self.has_failed = False

    def run_with(
        self, test: Callable[[], Awaitable[None]], *, link_mbps: float = LINK_MBPS
    ) -> None:
        async def run() -> None:
            check = StoreCheck(store=self.store, random=Random(1), link_mbps=link_mbps)
            check.add_kind("config", lambda page: None)

            async def wait() -> None:
                await check.wait_failed()
                self.has_failed = True
                await check.wait_failed()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(check.run)
                nursery.start_soon(wait)
                await test()
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def test_check_behind_a_long_answer_is_no_failure(self) -> None:
        """Guards against a watch that is given up since its own answer delays a check."""
        self.store.answers_after_s = 2 * CHECK_TIMEOUT_S

        async def test() -> None:
            for _ in range(20):
                await trio.sleep(CHECK_TIMEOUT_S / 4)
                self.store.received_at = trio.current_time()
            self.assertFalse(self.has_failed)

        self.run_with(test)

    def test_check_behind_an_answer_that_has_stalled_is_a_failure(self) -> None:
        """Guards against a failing store that counts as answering since it began an answer."""
        self.store.answers_after_s = 100.0

        async def test() -> None:
            await trio.sleep(CHECK_TIMEOUT_S / 2)
            self.store.received_at = trio.current_time()
            await trio.sleep(CHECK_TIMEOUT_S * 0.9)
            self.assertFalse(self.has_failed)
            await trio.sleep(CHECK_TIMEOUT_S * 0.2)
            self.assertTrue(self.has_failed)

        self.run_with(test)

    def test_nothing_is_read_while_a_long_answer_arrives(self) -> None:
        """Guards against checks that take the link from a long answer."""

        async def test() -> None:
            self.store.is_receiving = True
            await trio.sleep(2 * CHECK_INTERVAL_S)
            read = len(self.store.checks)
            await trio.sleep(5.0)
            self.assertEqual(len(self.store.checks), read)
            self.store.is_receiving = False
            await trio.sleep(2 * CHECK_INTERVAL_S)
            self.assertGreater(len(self.store.checks), read)

        self.run_with(test)

    def test_large_pages_are_read_less_often(self) -> None:
        """Guards against checks for names that fill the link with contents."""
        self.store.page_bytes = LARGE_BYTES

        async def test() -> None:
            await trio.sleep(70.0)
            self.assertLess(len(self.store.checks), 4)

        self.run_with(test)

    def test_pages_are_read_as_before_over_a_wide_link(self) -> None:
        """Guards against missed changes that are found late where the link has room."""
        self.store.page_bytes = 100_000

        async def test() -> None:
            await trio.sleep(100 * CHECK_INTERVAL_S)
            self.assertGreater(len(self.store.checks), 95)

        self.run_with(test, link_mbps=1000)
