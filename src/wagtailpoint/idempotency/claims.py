"""Claims in the platform for keys without a binding, made before the request is dispatched.

A caller that sends a key without a binding may send copies to any entry, so only the platform can
decide which entry runs it. Nowhere else does a request wait for the platform.

A claim protects only while it is stored: a copy that arrives after its removal runs again. A
binding has no such limit.
"""

from http import HTTPStatus
from typing import NamedTuple, TypedDict

import trio
from result import Err, Ok

from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse
from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable
from wagtailpoint.idempotency.keys import RequestKey
from wagtailpoint.idempotency.outcome import DUPLICATE_RETRY_AFTER_S
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.platform import ABSENT, Conflict, Platform, StoredObject
from wagtailpoint.revision import Revision
from wagtailpoint.untrusted_input import read_value
from wagtailpoint.verdict import Verdict

CLAIM_KIND = "key-claim"
CLAIM_RETRY_AFTER_S = 2.0
_MAX_WRITE_ATTEMPTS = 3
_CLEANUP_INTERVAL_S = 10.0


class ClaimValue(TypedDict):
    """The stored value of a claim.

    Attributes:
        incarnation: The only process that may run the key.
        address: The address where that process listens, for queries of peers.
    """

    incarnation: str
    address: str


class Claimed(NamedTuple):
    """The result of a claim if this process may run the key."""

    name: str


class NotClaimed(NamedTuple):
    """The result of a claim if this process must not run the key.

    Attributes:
        refusal: The refusal for the caller.
        holder: The process that holds the claim, if it is known.
    """

    refusal: Refusal
    holder: ClaimValue | None


class _Held(NamedTuple):
    version: Revision
    claimed_at: float
    used: bool


class Claims:
    """Makes and removes the claims of this process.

    Claims decide between processes only. Within this process ``KeyStore.begin`` must be called
    first, which admits one copy of a request at a time; call ``claim`` only for that copy.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        clock: Clock,
        incarnation: str,
        address: str,
        retention_s: float,
        max_held: int = 10_000,
    ) -> None:
        """Initialise it without any claim.

        Args:
            platform: The store of claims.
            clock: The clock by which claims expire.
            incarnation: The incarnation of this process.
            address: The address where this process listens, as ``ADDRESS:PORT``.
            retention_s: The time that a claim is stored, in seconds: at least two epochs, and
                longer than any caller retries a key without a binding.
            max_held: The maximum number of claims; further keys are refused.
        """
        self._platform = platform
        self._clock = clock
        self._value = ClaimValue(incarnation=incarnation, address=address)
        self._retention_s = retention_s
        self._max_held = max_held
        self._held: dict[str, _Held] = {}

    @property
    def held(self) -> int:
        """The number of claims that this process has yet to remove."""
        return len(self._held)

    async def claim(self, key: RequestKey) -> Claimed | NotClaimed:
        """Claim a key; the request may be dispatched only if the result is ``Claimed``."""
        name = key.digest().hex()
        held = self._held.get(name)
        if held is not None:
            return self._reuse_claim(name, held)
        if len(self._held) >= self._max_held:
            return NotClaimed(_too_many_claims(self._max_held), None)
        for _ in range(_MAX_WRITE_ATTEMPTS):
            written = await self._platform.put(
                kind=CLAIM_KIND, name=name, value=dict(self._value), if_version=ABSENT
            )
            match written:
                case Ok(stored):
                    return self._record_held(stored)
                case Err(Conflict(current)) if current is not None:
                    return self._resolve(current)
                case Err(PlatformUnavailable()):
                    return NotClaimed(_platform_unavailable(), None)
                case Err(OutcomeUnknown()):
                    # The claim may be stored although the answer was lost. A second write without
                    # a read would conflict with it, and the conflict must not refuse the key.
                    settled = await self._read_back(name)
                    if settled is not None:
                        return settled
        return NotClaimed(_platform_unavailable(), None)

    async def release(self, key: RequestKey) -> None:
        """Release a claim after a proven ``not-run``, so that a later copy may run anywhere.

        This is best effort: a claim that is not removed names this process, which may reuse it.
        """
        name = key.digest().hex()
        held = self._held.get(name)
        if held is not None:
            self._held[name] = held._replace(used=False)
            await self._remove(name, held)

    async def run(self) -> None:
        """Remove expired claims until cancelled."""
        while True:
            await trio.sleep(_CLEANUP_INTERVAL_S)
            await self.remove_expired()

    async def remove_expired(self) -> int:
        """Remove the expired claims; return how many were removed."""
        claimed_before = self._clock.monotonic() - self._retention_s
        expired = [
            (name, held) for name, held in self._held.items() if held.claimed_at <= claimed_before
        ]
        removed = 0
        for name, held in expired:
            removed += await self._remove(name, held)
        return removed

    def _reuse_claim(self, name: str, held: _Held) -> Claimed | NotClaimed:
        # The claim outlives the two epochs of the key store. A delayed copy, whose key the key
        # store has discarded by then, finds a claim by this process; if that permitted it to run,
        # the request would run twice.
        if held.used:
            return NotClaimed(_already_used(), self._value)
        self._held[name] = held._replace(used=True)
        return Claimed(name)

    async def _remove(self, name: str, held: _Held) -> bool:
        result = await self._platform.delete(kind=CLAIM_KIND, name=name, if_version=held.version)
        if isinstance(result, Err) and not isinstance(result.err_value, Conflict):
            return False
        # A conflict means that an earlier deletion succeeded and its answer was lost.
        self._held.pop(name, None)
        return True

    async def _read_back(self, name: str) -> Claimed | NotClaimed | None:
        """Return the result for the stored claim; None if there is none yet or it is unreadable."""
        match await self._platform.get(kind=CLAIM_KIND, name=name):
            case Ok(StoredObject() as stored):
                return self._resolve(stored)
            case _:
                return None

    def _resolve(self, stored: StoredObject) -> Claimed | NotClaimed:
        read = read_value(stored.value, ClaimValue)
        if isinstance(read, Err):
            log_event("claim-unreadable", level="WARNING", name=stored.name, error=read.err_value)
            return NotClaimed(_claim_unreadable(), None)
        holder = read.ok_value
        if holder["incarnation"] == self._value["incarnation"]:
            return self._record_held(stored)
        return NotClaimed(_claimed_elsewhere(holder), holder)

    def _record_held(self, stored: StoredObject) -> Claimed:
        self._held[stored.name] = _Held(stored.version, self._clock.monotonic(), True)
        return Claimed(stored.name)


def _platform_unavailable() -> Refusal:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.PLATFORM_UNAVAILABLE,
        "a key without a binding has to be claimed in the platform, which does not answer; "
        "send the key with the binding from a lookup, or retry later",
        CLAIM_RETRY_AFTER_S,
    )


def _too_many_claims(max_held: int) -> Refusal:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.KEY_MEMORY_FULL,
        f"this entry holds {max_held} claims of keys without a binding, the maximum; "
        "send the key with the binding from a lookup, or use another entry",
        CLAIM_RETRY_AFTER_S,
    )


def _already_used() -> Refusal:
    return Refusal(
        HTTPStatus.CONFLICT,
        RefusalCode.OUTCOME_UNKNOWN,
        "the request was dispatched here and its outcome is not remembered; read the outcome from "
        "the service",
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )


def _claim_unreadable() -> Refusal:
    return Refusal(
        HTTPStatus.CONFLICT,
        RefusalCode.OUTCOME_UNKNOWN,
        "the claim of the key can't be read, so that the request may have run elsewhere; read the "
        "outcome from the service",
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )


def _claimed_elsewhere(holder: ClaimValue) -> Refusal:
    return Refusal(
        HTTPStatus.CONFLICT,
        RefusalCode.KEY_CLAIMED_ELSEWHERE,
        f"the key is claimed by {holder['address']}, the only entry that may run it; retry there",
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )
