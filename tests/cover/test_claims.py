"""Claims of keys without a binding."""

import unittest

import trio

from tests.common.fake_clock import FakeClock
from tests.common.fake_platform import FakePlatform
from wagtailpoint.admission.refusal import RefusalCode
from wagtailpoint.idempotency.claims import CLAIM_KIND, Claimed, Claims, NotClaimed
from wagtailpoint.idempotency.keys import RequestKey
from wagtailpoint.verdict import Verdict

KEY = RequestKey("surakkha", "release-1")
KEEP_S = 600.0


class ClaimsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = FakePlatform()
        self.clock = FakeClock()
        self.one = self.claims("a" * 16)
        self.two = self.claims("b" * 16)

    def claims(self, incarnation: str) -> Claims:
        return Claims(
            platform=self.platform,
            clock=self.clock,
            incarnation=incarnation,
            address="127.0.0.1:7180",
            retention_s=KEEP_S,
        )

    def claim(self, claims: Claims) -> Claimed | NotClaimed:
        return trio.run(claims.claim, KEY)

    def check_refused(self, claims: Claims, code: RefusalCode, verdict: Verdict) -> None:
        claimed = self.claim(claims)
        assert isinstance(claimed, NotClaimed), claimed
        self.assertEqual((claimed.refusal.code, claimed.refusal.verdict), (code, verdict))

    def test_one_of_two(self) -> None:
        self.assertIsInstance(self.claim(self.one), Claimed)
        elsewhere = RefusalCode.KEY_CLAIMED_ELSEWHERE
        self.check_refused(self.two, elsewhere, Verdict.MAY_HAVE_RUN)

    def test_lost_answer_is_settled_by_reading_back(self) -> None:
        """A key is refused by the entry that holds its claim, and so can run nowhere.

        The claim lands and its answer is lost; written again, it conflicts with itself.
        """
        self.platform.lose_answers = 1
        self.assertIsInstance(self.claim(self.one), Claimed)

    def test_lost_request_is_written_again(self) -> None:
        self.platform.lose_requests = 1
        self.assertIsInstance(self.claim(self.one), Claimed)

    def test_platform_out(self) -> None:
        self.platform.down = True
        out = RefusalCode.PLATFORM_UNAVAILABLE
        self.check_refused(self.one, out, Verdict.NOT_RUN)
        self.platform.down = False
        self.assertIsInstance(self.claim(self.one), Claimed)

    def test_claim_outlives_the_memory_of_keys(self) -> None:
        """A release is paid twice by its claimer.

        Two epochs after it ran, a late copy is unknown to the key store, and the claim in the
        platform names this very process. Cause: that was taken for leave to run.
        """
        self.claim(self.one)
        self.check_refused(self.one, RefusalCode.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)

    def test_released_after_not_run(self) -> None:
        self.claim(self.one)
        trio.run(self.one.release, KEY)
        self.assertIsInstance(self.claim(self.two), Claimed)

    def test_release_that_failed_leaves_the_key_to_its_claimer(self) -> None:
        self.claim(self.one)
        self.platform.down = True
        trio.run(self.one.release, KEY)
        self.platform.down = False
        self.check_refused(self.two, RefusalCode.KEY_CLAIMED_ELSEWHERE, Verdict.MAY_HAVE_RUN)
        self.assertIsInstance(self.claim(self.one), Claimed)

    def test_old_claims_are_removed_also_when_the_answer_is_lost(self) -> None:
        self.claim(self.one)
        self.assertEqual(trio.run(self.one.remove_expired), 0)
        self.clock.now += KEEP_S
        self.platform.lose_answers = 1
        self.assertEqual(trio.run(self.one.remove_expired), 0)
        self.assertEqual(trio.run(self.one.remove_expired), 1)
        self.assertEqual(self.one.held, 0)
        self.assertEqual(list(self.platform.store.list(CLAIM_KIND)), [])
