"""The concurrent sends of one request on the platform."""

import unittest

import trio

from wagtailpoint.proxy.hedged_exchange import HedgedExchange

LIMIT_S = 5.0


class HedgedExchangeTest(unittest.TestCase):
    def test_send_that_starts_after_the_answer(self) -> None:
        """Guards against a hedged send that goes on to its deadline after the answer to another."""

        async def test() -> None:
            hedged = HedgedExchange()
            with trio.fail_after(LIMIT_S):
                with hedged.begin("i-1"):
                    self.assertTrue(hedged.claim("i-1"))
                with hedged.begin("i-2") as late:
                    await trio.sleep_forever()
            self.assertTrue(late.cancelled_caught)

        trio.run(test)

    def test_answer_ends_the_other_sends(self) -> None:
        async def test() -> None:
            hedged = HedgedExchange()
            first, second = hedged.begin("i-1"), hedged.begin("i-2")
            self.assertTrue(hedged.claim("i-2"))
            self.assertFalse(hedged.claim("i-1"))
            self.assertTrue(first.cancel_called)
            self.assertFalse(second.cancel_called)

        trio.run(test)
