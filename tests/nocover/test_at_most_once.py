"""Model test: at most one run for each key under any schedule of copies, epochs and restarts.

The real ``KeyStore`` and ``BoundKey`` run on a simulated network that delays and reorders copies
and loses answers, with two entries and lookups of any age.
"""

import json
import unittest
from http import HTTPStatus
from typing import NamedTuple

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from result import Ok

from tests.common.fake_clock import FakeClock
from wagtailpoint import headers
from wagtailpoint.admission.refusal import Refusal, RefusalCode
from wagtailpoint.caller.entries import KnownEntry
from wagtailpoint.caller.exchange import EntryAddress, FailedExchange, Reply
from wagtailpoint.caller.keys import BoundKey
from wagtailpoint.idempotency.binding import Binding, parse_binding
from wagtailpoint.idempotency.keys import Join, KeyStore, Reject, Replay, RequestKey, Run
from wagtailpoint.idempotency.outcome import Answered, MayHaveRun, NotRun, Outcome
from wagtailpoint.verdict import Verdict

EPOCH_S = 10.0
ENTRIES = st.integers(0, 1)
# Most requests use one key; the others fill the store.
KEYS = st.sampled_from([0, 0, 0, 0, 1, 2])
PICK = st.integers(0, 1000)
SHED = NotRun(
    Refusal(HTTPStatus.SERVICE_UNAVAILABLE, RefusalCode.NO_SLOT, "full", Verdict.NOT_RUN, 1.0)
)


class Copy(NamedTuple):
    """A copy in transit: the entry object that the caller bound it with, and its destination."""

    key: int
    entry: KnownEntry
    to: int

    @property
    def binding(self) -> Binding:
        match parse_binding(self.entry.binding):
            case Ok(binding):
                return binding
        raise AssertionError(self.entry.binding)


def as_reply(result: Refusal | Answered) -> Reply:
    if isinstance(result, Refusal):
        return Reply(result.status, result.headers(), result.body())
    return Reply(result.status, [(headers.VERDICT, b"ran")], result.body or b"")


class AtMostOnce(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.clocks = [FakeClock(), FakeClock()]
        self.lives = 0
        self.stores = [self.new_store(0), self.new_store(1)]
        self.bound = [BoundKey() for _ in range(3)]
        self.lookups: list[tuple[int, Binding]] = []
        self.network: list[Copy] = []
        self.running: list[Copy] = []
        self.joined: list[Copy] = []
        # The attempts of each key that ran, or that are in flight and may still be shed.
        self.ran: list[set[int]] = [set(), set(), set()]
        self.told_not_run: list[set[int]] = [set(), set(), set()]

    def new_store(self, number: int) -> KeyStore:
        self.lives += 1
        return KeyStore(
            incarnation=f"{self.lives:016x}",
            clock=self.clocks[number],
            epoch_s=EPOCH_S,
            max_keys=2,
            max_answer_bytes=10,
        )

    @rule(key=KEYS, number=ENTRIES, old=st.booleans(), copies=st.integers(1, 3))
    def send(self, key: int, number: int, old: bool, copies: int) -> None:
        """Send copies with the binding of a new or an earlier lookup."""
        if not old or not self.lookups:
            self.lookups.append((number, self.stores[number].binding))
        to, binding = self.lookups[len(self.lookups) // 2 if old else -1]
        bound = self.bound[key]
        for _ in range(copies):
            entry = bound.entry or bound.bind(
                KnownEntry(EntryAddress("127.0.0.1", to), "a", str(binding))
            )
            bound.record_copy()
            self.network.append(Copy(key, entry, entry.address.port))

    @precondition(lambda self: self.network)
    @rule(pick=PICK)
    def connection_never_established(self, pick: int) -> None:
        copy = self.network.pop(pick % len(self.network))
        self.bound[copy.key].settle(copy.entry, FailedExchange(False, "ConnectError"))

    @precondition(lambda self: self.network)
    @rule(pick=PICK, lose=st.booleans())
    def deliver(self, pick: int, lose: bool) -> None:
        copy = self.network.pop(pick % len(self.network))
        store = self.stores[copy.to]
        begun = store.begin(RequestKey("w", str(copy.key)), "same", copy.binding)
        match begun:
            case Run():
                attempt = copy.binding.attempt
                assert attempt not in self.told_not_run[copy.key], "ran after a not-run"
                self.ran[copy.key].add(attempt)
                self.running.append(copy)
            case Join():
                self.joined.append(copy)
            case Replay(answer):
                self.reply(copy, as_reply(answer), lose)
            case Reject(refusal):
                self.reply(copy, as_reply(refusal), lose)

    @precondition(lambda self: self.network)
    @rule(pick=PICK)
    def another_entry_has_it_forbidden(self, pick: int) -> None:
        copy = self.network.pop(pick % len(self.network))
        outcome = self.stores[copy.to].forbid(RequestKey("w", str(copy.key)), copy.binding)
        if isinstance(outcome, NotRun):
            self.reply(copy, as_reply(outcome.refusal), False)

    @precondition(lambda self: self.running)
    @rule(pick=PICK, outcome=st.sampled_from([Answered(200, [], b"ok"), MayHaveRun("reset"), SHED]))
    def finish(self, pick: int, outcome: Outcome) -> None:
        copy = self.running.pop(pick % len(self.running))
        key = RequestKey("w", str(copy.key))
        self.stores[copy.to].finish(key, outcome)
        if isinstance(outcome, NotRun):
            self.ran[copy.key].discard(copy.binding.attempt)
        same = [joined for joined in self.joined if (joined.key, joined.to) == (copy.key, copy.to)]
        self.joined = [joined for joined in self.joined if joined not in same]
        for waiting in [copy, *same]:
            match outcome:
                case Answered():
                    self.reply(waiting, as_reply(outcome), False)
                case NotRun(refusal):
                    self.reply(waiting, as_reply(refusal), False)
                case MayHaveRun():
                    self.reply(waiting, as_reply(_unknown()), False)

    @rule(number=ENTRIES, epochs=st.sampled_from([1.0, 1.0, 2.0, 7.0]))
    def time_passes_or_a_freeze_ends(self, number: int, epochs: float) -> None:
        self.clocks[number].now += epochs * EPOCH_S

    @rule(number=ENTRIES)
    def restart(self, number: int) -> None:
        self.stores[number] = self.new_store(number)
        lost = [copy for copy in self.running + self.joined if copy.to == number]
        self.running = [copy for copy in self.running if copy.to != number]
        self.joined = [copy for copy in self.joined if copy.to != number]
        for copy in lost:
            self.bound[copy.key].settle(copy.entry, FailedExchange(True, "reset"))

    def reply(self, copy: Copy, reply: Reply, lose: bool) -> None:
        result: Reply | FailedExchange = FailedExchange(True, "reset") if lose else reply
        settled = self.bound[copy.key].settle(copy.entry, result)
        if isinstance(settled, Reply) and (headers.VERDICT, b"not-run") in settled.headers:
            self.told_not_run[copy.key].add(copy.binding.attempt)
            assert copy.binding.attempt not in self.ran[copy.key], json.loads(settled.body)

    @invariant()
    def at_most_one_run(self) -> None:
        for attempts in self.ran:
            assert len(attempts) <= 1, attempts


def _unknown() -> Refusal:
    return Refusal(
        HTTPStatus.BAD_GATEWAY, RefusalCode.BACKEND_FAILED, "reset", Verdict.MAY_HAVE_RUN, 1.0
    )


class AtMostOnceTest(unittest.TestCase):
    def test_all_schedules(self) -> None:
        run_state_machine_as_test(
            AtMostOnce,
            settings=settings(
                max_examples=500,
                stateful_step_count=40,
                deadline=None,
                derandomize=True,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )
