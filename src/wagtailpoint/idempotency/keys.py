"""The memory of keys that makes a non-idempotent request run at most once.

The rule behind it: every key that was begun under a binding is remembered for as long as that
binding's epoch is accepted. So an unknown key under an accepted epoch has never run, whatever the
clock did; the clock only bounds the memory.
"""

from collections import OrderedDict
from hashlib import blake2b
from http import HTTPStatus
from typing import NamedTuple

import trio

from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse
from wagtailpoint.idempotency.binding import Binding
from wagtailpoint.idempotency.outcome import (
    DUPLICATE_RETRY_AFTER_S,
    Answered,
    NotRun,
    Outcome,
    replay_outcome,
)
from wagtailpoint.ports.clock import Clock
from wagtailpoint.verdict import Verdict

_DIGEST_BYTES = 16
FIRST_EPOCH = 1


class RequestKey(NamedTuple):
    """A caller's key. Two workspaces may choose the same key."""

    workspace: str
    key: str

    def digest(self) -> bytes:
        """Return a name of fixed length, so that a long key costs no more memory."""
        text = f"{self.workspace}\n{self.key}".encode()
        return blake2b(text, digest_size=_DIGEST_BYTES).digest()


class InFlight:
    """An attempt that has begun and not finished."""

    def __init__(self, *, fingerprint: str, binding: Binding, bound: bool) -> None:
        self._fingerprint = fingerprint
        self._binding = binding
        self._bound = bound
        self._finished = trio.Event()
        self._outcome: Outcome | None = None

    @property
    def fingerprint(self) -> str:
        """What the key stands for."""
        return self._fingerprint

    @property
    def binding(self) -> Binding:
        """What it runs under."""
        return self._binding

    @property
    def bound(self) -> bool:
        """Whether the caller gave the binding."""
        return self._bound

    async def wait(self) -> Outcome:
        """Wait until the attempt has finished. The waiting caller brings its own deadline."""
        await self._finished.wait()
        assert self._outcome is not None
        return self._outcome

    def settle(self, outcome: Outcome) -> None:
        """Wake all who wait."""
        self._outcome = outcome
        self._finished.set()


class Run(NamedTuple):
    """The first attempt: dispatch it, and call ``finish`` whatever happens."""

    binding: Binding


class Join(NamedTuple):
    """Another copy is running: wait for its outcome."""

    attempt: InFlight


class Replay(NamedTuple):
    """It ran before: repeat its answer."""

    answer: Answered


class Reject(NamedTuple):
    """It must not run; ``refusal.code`` says why."""

    refusal: Refusal


BeginResult = Run | Join | Replay | Reject


class _Record(NamedTuple):
    fingerprint: str
    attempt: int
    outcome: Outcome


class KeyStore:
    """Remembers every key of the current and the previous epoch, and all in flight.

    Every ``not-run`` for a bound key must come from here (from ``begin``, or passed to
    ``finish``): a refusal that is not remembered lets a late copy of the request run after the
    caller, trusting the refusal, has sent it elsewhere.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        clock: Clock,
        epoch_s: float,
        max_keys: int,
        max_answer_bytes: int,
        max_kept_bytes: int = 16_000_000,
    ) -> None:
        """Make an empty memory.

        Args:
            incarnation: This process.
            clock: Advances the epochs.
            epoch_s: The length of an epoch, in seconds; longer than any caller caches a lookup.
            max_keys: Keys remembered at most, those in flight included.
            max_answer_bytes: The largest body that is kept for a repeat.
            max_kept_bytes: All kept bodies together; beyond it the oldest are dropped and their
                repeats are told ``ran`` without the answer.
        """
        self._incarnation = incarnation
        self._clock = clock
        self._epoch_s = epoch_s
        self._max_keys = max_keys
        self._max_answer_bytes = max_answer_bytes
        self._max_kept_bytes = max_kept_bytes
        self._epoch = FIRST_EPOCH
        self._epoch_began = clock.monotonic()
        self._sealed_through = FIRST_EPOCH - 1
        self._in_flight: dict[bytes, InFlight] = {}
        self._current: dict[bytes, _Record] = {}
        self._previous: dict[bytes, _Record] = {}
        self._answer_sizes: OrderedDict[bytes, int] = OrderedDict()
        self._answer_bytes = 0

    @property
    def binding(self) -> Binding:
        """The binding that lookups give out now."""
        self._advance()
        return Binding(self._incarnation, self._epoch)

    @property
    def size(self) -> int:
        """Keys remembered, those in flight included."""
        return len(self._in_flight) + len(self._current) + len(self._previous)

    @property
    def accepts_new_keys(self) -> bool:
        """False while the memory is full: lookups should prefer other entries."""
        self._advance()
        return self._sealed_through < self._epoch

    def in_flight(self, key: RequestKey) -> InFlight | None:
        """The attempt of a key that has begun and not finished."""
        return self._in_flight.get(key.digest())

    def outcome(self, key: RequestKey) -> Outcome | None:
        """How a key ended; None if it is in flight or not remembered."""
        self._advance()
        record = self._record(key.digest())
        return record.outcome if record is not None else None

    def begin(self, key: RequestKey, fingerprint: str, binding: Binding | None) -> BeginResult:
        """Decide what happens to one copy of a keyed request.

        Args:
            key: The caller's key.
            fingerprint: Of the whole request, see ``wagtailpoint.fingerprint``.
            binding: As the caller sent it; None means that the caller of this method claims the
                key in the platform (see ``claims``) before it dispatches.
        """
        self._advance()
        if binding is not None and binding.incarnation != self._incarnation:
            return Reject(_other_incarnation(binding, self._incarnation))
        effective = binding or Binding(self._incarnation, self._epoch)
        digest = key.digest()
        # A known key goes before the epoch: a request that is in flight for longer than two epochs
        # must still be joined by its repeats, although their binding is old by now.
        in_flight = self._in_flight.get(digest)
        if in_flight is not None:
            if in_flight.fingerprint != fingerprint:
                return Reject(_key_reused(key))
            return Join(in_flight)
        record = self._current.get(digest) or self._previous.get(digest)
        if record is not None:
            known = self._begin_known(key, fingerprint, effective, record)
            if known is not None:
                return known
        refusal = self._check_epoch(effective, is_new=record is None)
        if refusal is not None:
            return Reject(refusal)
        self._discard_record(digest)
        self._in_flight[digest] = InFlight(
            fingerprint=fingerprint, binding=effective, bound=binding is not None
        )
        return Run(effective)

    def finish(self, key: RequestKey, outcome: Outcome) -> None:
        """Remember how the attempt begun under a key ended, and wake the copies that joined it.

        Raises:
            KeyError: The key is not in flight.
        """
        self._advance()
        digest = key.digest()
        attempt = self._in_flight.pop(digest)
        limited = self._limit_answer(outcome)
        # A copy without a binding is arbitrated by its claim in the platform, not by this memory,
        # and its `not-run` speaks for that copy only.
        if attempt.bound or not isinstance(limited, NotRun):
            self._current[digest] = _Record(attempt.fingerprint, attempt.binding.attempt, limited)
            self._record_answer_size(digest, limited)
        attempt.settle(outcome)

    def forbid(self, key: RequestKey, binding: Binding) -> Outcome | None:
        """Make sure that a key never runs here, for a peer that was sent a copy of it.

        To answer "I don't know it" would prove nothing: a copy may arrive a moment later.

        Returns:
            How it ended, ``NotRun`` if it is now forbidden; None if it is in flight, or if the
            answer is not known because the binding's epoch is no longer remembered.
        """
        if binding.incarnation != self._incarnation:
            return None
        begun = self.begin(key, "", binding)
        match begun:
            case Run():
                refusal = _forbidden(self._epoch_remaining_s())
                self.finish(key, NotRun(refusal))
                return NotRun(refusal)
            case Reject(refusal) if refusal.code is RefusalCode.KEY_MEMORY_FULL:
                return NotRun(refusal)
            case _:
                record = self._record(key.digest())
                return record.outcome if record is not None else None

    def _begin_known(
        self, key: RequestKey, fingerprint: str, effective: Binding, record: _Record
    ) -> BeginResult | None:
        """Answer a finished key, or return None if a new attempt may run."""
        refused = isinstance(record.outcome, NotRun)
        if refused and effective.attempt > record.attempt:
            return None
        if not refused and record.fingerprint != fingerprint:
            return Reject(_key_reused(key))
        replay = replay_outcome(record.outcome)
        return Reject(replay) if isinstance(replay, Refusal) else Replay(replay)

    def _check_epoch(self, effective: Binding, *, is_new: bool) -> Refusal | None:
        if effective.epoch > self._epoch:
            return _future_epoch(effective, self._epoch)
        if effective.epoch < self._epoch - 1:
            return _stale_epoch(effective, self._epoch)
        if is_new and self.size >= self._max_keys:
            # This refusal has no room to be remembered. Without the seal, a late copy could run
            # once there is room again, after its caller went elsewhere; the seal makes all
            # unknown keys of all bindings given out so far unable to run, for good.
            self._sealed_through = self._epoch
        if effective.epoch <= self._sealed_through:
            return _memory_full(self._max_keys, self._epoch_remaining_s())
        return None

    def _advance(self) -> None:
        # In the same step as the decision, so that a process waking from a freeze refuses the old
        # requests that waited in its sockets instead of running them long after their time.
        passed = int((self._clock.monotonic() - self._epoch_began) // self._epoch_s)
        if passed < 1:
            return
        self._epoch += passed
        self._epoch_began += passed * self._epoch_s
        self._discard_records(self._previous)
        if passed > 1:
            self._discard_records(self._current)
        self._previous = self._current
        self._current = {}

    def _discard_records(self, records: dict[bytes, _Record]) -> None:
        for digest in records:
            self._answer_bytes -= self._answer_sizes.pop(digest, 0)
        records.clear()

    def _epoch_remaining_s(self) -> float:
        return max(0.0, self._epoch_began + self._epoch_s - self._clock.monotonic())

    def _record(self, digest: bytes) -> _Record | None:
        return self._current.get(digest) or self._previous.get(digest)

    def _discard_record(self, digest: bytes) -> None:
        self._current.pop(digest, None)
        self._previous.pop(digest, None)

    def _limit_answer(self, outcome: Outcome) -> Outcome:
        if isinstance(outcome, Answered) and len(outcome.body or b"") > self._max_answer_bytes:
            return outcome._replace(body=None)
        return outcome

    def _record_answer_size(self, digest: bytes, outcome: Outcome) -> None:
        if not isinstance(outcome, Answered) or outcome.body is None:
            return
        self._answer_sizes[digest] = len(outcome.body)
        self._answer_bytes += len(outcome.body)
        while self._answer_bytes > self._max_kept_bytes:
            oldest, size = self._answer_sizes.popitem(last=False)
            self._answer_bytes -= size
            for records in (self._current, self._previous):
                record = records.get(oldest)
                if record is not None and isinstance(record.outcome, Answered):
                    records[oldest] = record._replace(outcome=record.outcome._replace(body=None))


def _key_reused(key: RequestKey) -> Refusal:
    return Refusal(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        RefusalCode.KEY_REUSED,
        f"the key {key.key[:80]!r} already stands for another request of workspace "
        f"{key.workspace}; use a new key for each request",
        # The new request did not run, but the key's verdict is what the caller acts upon.
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )


def _other_incarnation(binding: Binding, own: str) -> Refusal:
    return Refusal(
        HTTPStatus.CONFLICT,
        RefusalCode.OTHER_INCARNATION,
        f"the key is bound to {binding.incarnation}, this entry is {own}; it never runs here",
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )


def _stale_epoch(binding: Binding, epoch: int) -> Refusal:
    return Refusal(
        HTTPStatus.CONFLICT,
        RefusalCode.STALE_EPOCH,
        f"the binding is of epoch {binding.epoch}, epochs from {epoch - 1} on are accepted; "
        "look up again before the first attempt of a request",
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )


def _future_epoch(binding: Binding, epoch: int) -> Refusal:
    return Refusal(
        HTTPStatus.BAD_REQUEST,
        RefusalCode.BAD_BINDING,
        f"the binding is of epoch {binding.epoch}, the newest is {epoch}; use the binding "
        "as the lookup gave it",
        # Not `not-run`: a late copy would find the epoch begun.
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )


def _memory_full(max_keys: int, retry_after_s: float) -> Refusal:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.KEY_MEMORY_FULL,
        f"this entry remembers {max_keys} keys and can take no more; use another entry",
        retry_after_s,
    )


def _forbidden(retry_after_s: float) -> Refusal:
    return refuse(
        HTTPStatus.CONFLICT,
        RefusalCode.KEY_REFUSED,
        "another entry asked for this key and had it refused here",
        retry_after_s,
    )
