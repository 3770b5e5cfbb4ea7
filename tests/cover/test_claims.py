"""Claims in the platform for keys without a binding."""

import unittest

import trio
from loguru import logger

from tests.common.fake_clock import FakeClock
from tests.common.fake_platform import FakePlatform
from wagtailpoint.admission.refusal import RefusalCode
from wagtailpoint.idempotency.claims import CLAIM_KIND, Claimed, Claims, NotClaimed
from wagtailpoint.idempotency.keys import RequestKey
from wagtailpoint.ports.platform import ABSENT
from wagtailpoint.verdict import Verdict

KEY = RequestKey("surakkha", "release-1")
RETENTION_S = 600.0


class ClaimsTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.platform = FakePlatform()
        self.clock = FakeClock()
        self.first = self.make_claims("a" * 16)
        self.second = self.make_claims("b" * 16)

    def make_claims(self, incarnation: str) -> Claims:
        return Claims(
            platform=self.platform,
            clock=self.clock,
            incarnation=incarnation,
            address="127.0.0.1:7180",
            retention_s=RETENTION_S,
        )

    def claim(self, claims: Claims) -> Claimed | NotClaimed:
        return trio.run(claims.claim, KEY)

    def check_refused(self, claims: Claims, code: RefusalCode, verdict: Verdict) -> None:
        claimed = self.claim(claims)
        assert isinstance(claimed, NotClaimed), claimed
        self.assertEqual((claimed.refusal.code, claimed.refusal.verdict), (code, verdict))

    def test_only_one_of_two_processes_gets_the_claim(self) -> None:
        self.assertIsInstance(self.claim(self.first), Claimed)
        elsewhere = RefusalCode.KEY_CLAIMED_ELSEWHERE
        self.check_refused(self.second, elsewhere, Verdict.MAY_HAVE_RUN)

    def test_claim_is_read_back_if_its_answer_is_lost(self) -> None:
        """Guards against a key that no entry runs because the holder of its claim refuses it.

        The claim is stored and its answer is lost; a second write conflicts with the first.
        """
        self.platform.lose_answers = 1
        self.assertIsInstance(self.claim(self.first), Claimed)

    def test_claim_is_written_again_if_its_request_is_lost(self) -> None:
        self.platform.lose_requests = 1
        self.assertIsInstance(self.claim(self.first), Claimed)

    def test_key_is_refused_while_the_platform_is_unavailable(self) -> None:
        self.platform.down = True
        unavailable = RefusalCode.PLATFORM_UNAVAILABLE
        self.check_refused(self.first, unavailable, Verdict.NOT_RUN)
        self.platform.down = False
        self.assertIsInstance(self.claim(self.first), Claimed)

    def test_unreadable_claim_refuses_the_key(self) -> None:
        """Guards against a request that runs twice, or an error, for a claim of another writer."""
        name = KEY.digest().hex()
        for value in (None, 7, {}, {"incarnation": "a" * 16}, {"incarnation": 7, "address": "x"}):
            with self.subTest(value=value):
                self.setUp()
                self.platform.store.put(CLAIM_KIND, name, value, ABSENT)
                self.check_refused(self.first, RefusalCode.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)

    def test_claim_permits_one_run_only(self) -> None:
        """Guards against a process that runs the request of its claim twice.

        Two epochs after the run, a delayed copy is unknown to the key store, and the claim in the
        platform names this process, which must not count as a permission to run.
        """
        self.claim(self.first)
        self.check_refused(self.first, RefusalCode.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)

    def test_released_claim_can_be_claimed_by_another_process(self) -> None:
        self.claim(self.first)
        trio.run(self.first.release, KEY)
        self.assertIsInstance(self.claim(self.second), Claimed)

    def test_failed_release_leaves_the_key_to_its_holder(self) -> None:
        self.claim(self.first)
        self.platform.down = True
        trio.run(self.first.release, KEY)
        self.platform.down = False
        self.check_refused(self.second, RefusalCode.KEY_CLAIMED_ELSEWHERE, Verdict.MAY_HAVE_RUN)
        self.assertIsInstance(self.claim(self.first), Claimed)

    def test_expired_claims_are_removed_even_if_an_answer_is_lost(self) -> None:
        self.claim(self.first)
        self.assertEqual(trio.run(self.first.remove_expired), 0)
        self.clock.now += RETENTION_S
        self.platform.lose_answers = 1
        self.assertEqual(trio.run(self.first.remove_expired), 0)
        self.assertEqual(trio.run(self.first.remove_expired), 1)
        self.assertEqual(self.first.held, 0)
        self.assertEqual(list(self.platform.store.list(CLAIM_KIND)), [])
