"""Store of idempotency keys that makes a non-idempotent request run at most once.

Every key that was begun under a binding is remembered as long as the epoch of that binding is
accepted. So an unknown key under an accepted epoch has never run, regardless of the clock, which
only bounds the memory.
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
    """The idempotency key of a request. Two workspaces may use the same key."""

    workspace: str
    key: str

    def digest(self) -> bytes:
        """Return a digest of fixed length, so that a long key takes no more memory."""
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
        """The fingerprint of the request that the key identifies."""
        return self._fingerprint

    @property
    def binding(self) -> Binding:
        """The binding under which the attempt runs."""
        return self._binding

    @property
    def bound(self) -> bool:
        """Whether the caller sent the binding."""
        return self._bound

    async def wait(self) -> Outcome:
        """Wait until the attempt has finished; the caller must apply a deadline."""
        await self._finished.wait()
        assert self._outcome is not None
        return self._outcome

    def settle(self, outcome: Outcome) -> None:
        """Set the outcome and wake all waiting tasks."""
        self._outcome = outcome
        self._finished.set()


class Run(NamedTuple):
    """The result for a first attempt: dispatch it and call ``finish`` in every case."""

    binding: Binding


class Join(NamedTuple):
    """The result if another copy is in flight: wait for its outcome."""

    attempt: InFlight


class Replay(NamedTuple):
    """The result if the request ran before: send the stored answer."""

    answer: Answered


class Reject(NamedTuple):
    """The result if the request must not run; ``refusal.code`` is the reason."""

    refusal: Refusal


BeginResult = Run | Join | Replay | Reject


class _Record(NamedTuple):
    fingerprint: str
    attempt: int
    outcome: Outcome


class KeyStore:
    """Remembers all keys of the current and the previous epoch, and all keys in flight.

    Every ``not-run`` for a bound key must be returned by ``begin`` or passed to ``finish``. If a
    refusal is not remembered, a delayed copy of the request may run after the caller, relying on
    the refusal, has sent the request to another entry.
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
        """Initialise an empty store.

        Args:
            incarnation: The incarnation of this process.
            clock: The clock that advances the epochs.
            epoch_s: The length of an epoch in seconds; longer than any caller caches a lookup.
            max_keys: The maximum number of remembered keys, those in flight included.
            max_answer_bytes: The maximum size of a body that is kept for later copies.
            max_kept_bytes: The maximum size of all kept bodies; beyond it the oldest are discarded,
                and later copies are answered ``ran`` without the body.
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
        """The binding of the current epoch, which lookups return."""
        self._advance()
        return Binding(self._incarnation, self._epoch)

    @property
    def size(self) -> int:
        """The number of remembered keys, those in flight included."""
        return len(self._in_flight) + len(self._current) + len(self._previous)

    @property
    def accepts_new_keys(self) -> bool:
        """Whether unknown keys are accepted; if not, lookups should prefer other entries."""
        self._advance()
        return self._sealed_through < self._epoch

    def in_flight(self, key: RequestKey) -> InFlight | None:
        """Return the attempt of a key that is in flight; None if there is none."""
        return self._in_flight.get(key.digest())

    def outcome(self, key: RequestKey) -> Outcome | None:
        """Return the outcome of a key; None if it is in flight or not remembered."""
        self._advance()
        record = self._record(key.digest())
        return record.outcome if record is not None else None

    def begin(self, key: RequestKey, fingerprint: str, binding: Binding | None) -> BeginResult:
        """Begin an attempt for one copy of a keyed request, or return why it must not run.

        Args:
            key: The key of the request.
            fingerprint: The fingerprint of the whole request, see ``wagtailpoint.fingerprint``.
            binding: The binding that the caller sent. If it is None, the key must be claimed in the
                platform (see ``claims``) before the request is dispatched.
        """
        self._advance()
        if binding is not None and binding.incarnation != self._incarnation:
            return Reject(_other_incarnation(binding, self._incarnation))
        effective = binding or Binding(self._incarnation, self._epoch)
        digest = key.digest()
        # Known keys are checked before the epoch: later copies of a request that is in flight for
        # longer than two epochs must still join it, although their binding is stale.
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
        """Record the outcome of a key in flight, and wake the copies that joined it.

        Raises:
            KeyError: The key is not in flight.
        """
        self._advance()
        digest = key.digest()
        attempt = self._in_flight.pop(digest)
        limited = self._limit_answer(outcome)
        # A copy without a binding is decided on by its claim in the platform, not by this store,
        # and its `not-run` holds for that copy only.
        if attempt.bound or not isinstance(limited, NotRun):
            self._current[digest] = _Record(attempt.fingerprint, attempt.binding.attempt, limited)
            self._record_answer_size(digest, limited)
        attempt.settle(outcome)

    def forbid(self, key: RequestKey, binding: Binding) -> Outcome | None:
        """Forbid a key for a peer that received a copy of the request.

        A reply that the key is unknown would prove nothing, since a copy may still arrive.

        Returns:
            The outcome of the key, which is ``NotRun`` if it is forbidden now; None if it is in
            flight, or unknown because the epoch of the binding is not remembered.
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
        """Return the result for a finished key, or None if a new attempt may run."""
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
            # A full store cannot remember this refusal. A delayed copy could run once there is
            # room again, after its caller has gone to another entry. So all epochs so far are
            # sealed: no unknown key under any binding issued in them can ever run.
            self._sealed_through = self._epoch
        if effective.epoch <= self._sealed_through:
            return _memory_full(self._max_keys, self._epoch_remaining_s())
        return None

    def _advance(self) -> None:
        # The epoch advances in the same step as the decision, not in a timer task: a process that
        # resumes after a freeze must refuse the stale requests in its sockets instead of running
        # them long after their callers gave up.
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
        f"the key {key.key[:80]!r} was already used for another request of workspace "
        f"{key.workspace}; use a new key for each request",
        # The new request did not run, but the caller acts on the verdict of the key.
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )


def _other_incarnation(binding: Binding, own: str) -> Refusal:
    return Refusal(
        HTTPStatus.CONFLICT,
        RefusalCode.OTHER_INCARNATION,
        f"the key is bound to incarnation {binding.incarnation}, given to incarnation {own}, "
        "which never runs it",
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )


def _stale_epoch(binding: Binding, epoch: int) -> Refusal:
    return Refusal(
        HTTPStatus.CONFLICT,
        RefusalCode.STALE_EPOCH,
        f"the binding is of epoch {binding.epoch}, expected epoch {epoch - 1} or later; "
        "look up again before the first attempt of a request",
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )


def _future_epoch(binding: Binding, epoch: int) -> Refusal:
    return Refusal(
        HTTPStatus.BAD_REQUEST,
        RefusalCode.BAD_BINDING,
        f"the binding is of epoch {binding.epoch}, but the newest is {epoch}; use the binding "
        "that the lookup returned",
        # The verdict is not `not-run`: a delayed copy could arrive after that epoch has begun.
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )


def _memory_full(max_keys: int, retry_after_s: float) -> Refusal:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.KEY_MEMORY_FULL,
        f"this entry remembers {max_keys} keys, the maximum; use another entry",
        retry_after_s,
    )


def _forbidden(retry_after_s: float) -> Refusal:
    return refuse(
        HTTPStatus.CONFLICT,
        RefusalCode.KEY_REFUSED,
        "another entry received this key and had it forbidden here",
        retry_after_s,
    )
