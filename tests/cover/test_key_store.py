"""Single sequences of the key store; tests/nocover/test_at_most_once.py has the model test."""

import unittest
from http import HTTPStatus

import trio

from tests.common.fake_clock import FakeClock
from wagtailpoint.admission.refusal import Refusal, RefusalCode
from wagtailpoint.fingerprint import fingerprint
from wagtailpoint.idempotency.binding import Binding
from wagtailpoint.idempotency.keys import (
    BeginResult,
    Join,
    KeyStore,
    Reject,
    Replay,
    RequestKey,
    Run,
)
from wagtailpoint.idempotency.outcome import Answered, MayHaveRun, NotRun
from wagtailpoint.verdict import Verdict

OWN = "00c0ffee00c0ffee"
EPOCH_S = 60.0
KEY = RequestKey("surakkha", "release-1")
PRINT = fingerprint(method="POST", host="w", target="/releases", body=b"1")
ANSWER = Answered(201, [(b"x", b"y")], b"paid")
SHED = NotRun(
    Refusal(HTTPStatus.SERVICE_UNAVAILABLE, RefusalCode.NO_SLOT, "full", Verdict.NOT_RUN, 1.0)
)


class KeyStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.store = KeyStore(
            incarnation=OWN,
            clock=self.clock,
            epoch_s=EPOCH_S,
            max_keys=3,
            max_answer_bytes=10,
            max_kept_bytes=10,
        )

    def begin(self, binding: Binding | None, key: RequestKey = KEY) -> BeginResult:
        return self.store.begin(key, PRINT, binding)

    def check_rejected(self, begun: BeginResult, code: RefusalCode, verdict: Verdict) -> None:
        assert isinstance(begun, Reject), begun
        self.assertEqual((begun.refusal.code, begun.refusal.verdict), (code, verdict))

    def test_runs_once_then_joins_then_replays_the_answer(self) -> None:
        binding = self.store.binding
        self.assertIsInstance(self.begin(binding), Run)
        joined = self.begin(binding)
        assert isinstance(joined, Join)
        self.store.finish(KEY, ANSWER)
        self.assertEqual(trio.run(joined.attempt.wait), ANSWER)
        self.assertEqual(self.begin(binding), Replay(ANSWER))

    def test_key_used_for_another_request_is_rejected(self) -> None:
        self.begin(self.store.binding)
        begun = self.store.begin(KEY, "other", self.store.binding)
        self.check_rejected(begun, RefusalCode.KEY_REUSED, Verdict.MAY_HAVE_RUN)

    def test_same_key_of_another_workspace_runs(self) -> None:
        self.begin(self.store.binding)
        other = RequestKey("heather", KEY.key)
        self.assertIsInstance(self.begin(self.store.binding, other), Run)

    def test_delayed_copy_of_a_refused_attempt_is_rejected(self) -> None:
        """Guards against a second run after a refusal that was not remembered.

        A copy is delayed; its retry is refused `not-run`; the caller binds the request to another
        entry, where it runs; then the first copy arrives. The next attempt, which has a higher
        number, may run here.
        """
        binding = self.store.binding
        self.begin(binding)
        self.store.finish(KEY, SHED)
        self.check_rejected(self.begin(binding), RefusalCode.KEY_REFUSED, Verdict.NOT_RUN)
        self.assertIsInstance(self.begin(binding._replace(attempt=1)), Run)
        self.store.finish(KEY, SHED)
        self.check_rejected(self.begin(binding), RefusalCode.KEY_REFUSED, Verdict.NOT_RUN)

    def test_refusal_by_a_full_store_holds_after_there_is_room_again(self) -> None:
        """Guards against a second run after a refusal that a full store could not remember.

        While the store is full, a copy is refused `not-run` and its caller goes to another entry.
        An epoch later there is room, and an earlier copy of the same key arrives under a binding
        that is still accepted.
        """
        for number in range(3):
            key = RequestKey("surakkha", str(number))
            self.begin(self.store.binding, key)
            self.store.finish(key, MayHaveRun("reset"))
        self.clock.now += EPOCH_S
        binding = self.store.binding
        full = RefusalCode.KEY_MEMORY_FULL
        self.check_rejected(self.begin(binding), full, Verdict.NOT_RUN)
        self.assertFalse(self.store.accepts_new_keys)
        self.clock.now += EPOCH_S
        self.check_rejected(self.begin(binding), full, Verdict.NOT_RUN)
        self.assertIsInstance(self.begin(self.store.binding), Run)

    def test_copy_joins_a_request_in_flight_for_more_than_two_epochs(self) -> None:
        """Guards against refusing a copy as stale while the first copy is still in flight.

        That happens if the epoch is checked before the key. The outcome must be remembered for two
        epochs after the end of the request, not after its beginning.
        """
        binding = self.store.binding
        self.begin(binding)
        self.clock.now += 5 * EPOCH_S
        self.assertIsInstance(self.begin(binding), Join)
        self.store.finish(KEY, ANSWER)
        self.clock.now += EPOCH_S
        self.assertEqual(self.begin(binding), Replay(ANSWER))

    def test_requests_received_before_a_freeze_of_two_epochs_are_stale(self) -> None:
        """Guards against running a request minutes after its caller gave up.

        The process is frozen with an unread request in its socket and resumes two epochs later. If
        a timer task advances the epoch, it may run after the request was accepted.
        """
        binding = self.store.binding
        self.clock.now += 2 * EPOCH_S
        self.check_rejected(self.begin(binding), RefusalCode.STALE_EPOCH, Verdict.MAY_HAVE_RUN)

    def test_binding_of_an_earlier_process_is_rejected(self) -> None:
        begun = self.begin(Binding("0123456789abcdef", 1))
        self.check_rejected(begun, RefusalCode.OTHER_INCARNATION, Verdict.MAY_HAVE_RUN)

    def test_binding_of_a_future_epoch_is_rejected(self) -> None:
        begun = self.begin(Binding(OWN, 2))
        self.check_rejected(begun, RefusalCode.BAD_BINDING, Verdict.MAY_HAVE_RUN)

    def test_too_large_answer_is_not_kept(self) -> None:
        self.begin(self.store.binding)
        self.store.finish(KEY, ANSWER._replace(body=b"x" * 11))
        begun = self.begin(self.store.binding)
        self.check_rejected(begun, RefusalCode.ANSWER_NOT_KEPT, Verdict.RAN)

    def test_oldest_answers_are_discarded_first_and_their_keys_stay_known(self) -> None:
        keys = [RequestKey("surakkha", str(number)) for number in range(3)]
        for key in keys:
            self.begin(self.store.binding, key)
            self.store.finish(key, ANSWER)
        begun = self.begin(self.store.binding, keys[0])
        self.check_rejected(begun, RefusalCode.ANSWER_NOT_KEPT, Verdict.RAN)
        self.assertEqual(self.begin(self.store.binding, keys[2]), Replay(ANSWER))

    def test_forbidden_key_never_runs(self) -> None:
        binding = self.store.binding
        self.assertIsInstance(self.store.forbid(KEY, binding), NotRun)
        self.check_rejected(self.begin(binding), RefusalCode.KEY_REFUSED, Verdict.NOT_RUN)
        self.assertIsNone(self.store.forbid(KEY, Binding("0123456789abcdef", 1)))

    def test_key_in_flight_cannot_be_forbidden(self) -> None:
        binding = self.store.binding
        self.begin(binding)
        self.assertIsNone(self.store.forbid(KEY, binding))
        self.store.finish(KEY, ANSWER)
        self.assertEqual(self.store.forbid(KEY, binding), ANSWER)
