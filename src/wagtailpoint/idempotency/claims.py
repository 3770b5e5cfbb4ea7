"""Claims: keys without a binding are claimed in the platform before they are dispatched.

A caller that brings a key but no binding may send copies to any entry, so only the platform can
say which entry runs it. This is the one place where a request waits for the platform.

A claim protects for as long as it is kept. A copy that arrives after its removal runs again; with
a binding there is no such limit.
"""

from http import HTTPStatus
from typing import NamedTuple, TypedDict

from result import Err, Ok

from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse
from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable
from wagtailpoint.idempotency.keys import RequestKey
from wagtailpoint.idempotency.outcome import DUPLICATE_RETRY_AFTER_S
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.platform import ABSENT, Conflict, Platform, StoredObject
from wagtailpoint.verdict import Verdict

CLAIM_KIND = "key-claim"
CLAIM_RETRY_AFTER_S = 2.0
_MAX_WRITE_ATTEMPTS = 3


class ClaimValue(TypedDict):
    """What a claim's object holds.

    Attributes:
        incarnation: The process that alone may run the key.
        address: Where that process listens, for a peer that wants to ask it.
    """

    incarnation: str
    address: str


class Claimed(NamedTuple):
    """This process may run the key."""

    name: str


class NotClaimed(NamedTuple):
    """This process must not run the key.

    Attributes:
        refusal: What to tell the caller.
        holder: Who may run it, if that is known.
    """

    refusal: Refusal
    holder: ClaimValue | None


class _Held(NamedTuple):
    version: int
    claimed_at: float
    used: bool


class Claims:
    """The claims of this process.

    It only decides between processes. Inside this one, ``KeyStore.begin`` comes first and lets
    one copy through at a time; call ``claim`` for that copy alone.
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
        """Make it without any claim.

        Args:
            platform: Where claims are kept.
            clock: Tells when a claim is old.
            incarnation: This process.
            address: Where this process listens, as ``ADDRESS:PORT``.
            retention_s: How long a claim is kept, in seconds: at least two epochs, and longer than
                any caller retries a key without a binding.
            max_held: Claims held at most; beyond it new keys are refused.
        """
        self._platform = platform
        self._clock = clock
        self._value = ClaimValue(incarnation=incarnation, address=address)
        self._retention_s = retention_s
        self._max_held = max_held
        self._held: dict[str, _Held] = {}

    @property
    def held(self) -> int:
        """Claims that this process has to remove some day."""
        return len(self._held)

    async def claim(self, key: RequestKey) -> Claimed | NotClaimed:
        """Claim a key; the caller of this method dispatches only if it is ``Claimed``."""
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
                    # The claim may stand although its answer was lost; writing again without
                    # looking could take it for somebody else's, and refuse our own key.
                    settled = await self._read_back(name)
                    if settled is not None:
                        return settled
        return NotClaimed(_platform_unavailable(), None)

    async def release(self, key: RequestKey) -> None:
        """Give a claim back after a proven ``not-run``, so that a later copy may run anywhere.

        Best effort: if the claim stays, it still names this process, which may claim it again.
        """
        name = key.digest().hex()
        held = self._held.get(name)
        if held is not None:
            self._held[name] = held._replace(used=False)
            await self._remove(name, held)

    async def remove_expired(self) -> int:
        """Remove the claims that were kept long enough; returns how many were removed."""
        claimed_before = self._clock.monotonic() - self._retention_s
        expired = [
            (name, held) for name, held in self._held.items() if held.claimed_at <= claimed_before
        ]
        removed = 0
        for name, held in expired:
            removed += await self._remove(name, held)
        return removed

    def _reuse_claim(self, name: str, held: _Held) -> Claimed | NotClaimed:
        # The claim outlives the key store's two epochs. A late copy, unknown to the key store by
        # then, would find the claim naming this process; taking that for leave to run would run
        # the request twice.
        if held.used:
            return NotClaimed(_already_used(), self._value)
        self._held[name] = held._replace(used=True)
        return Claimed(name)

    async def _remove(self, name: str, held: _Held) -> bool:
        result = await self._platform.delete(kind=CLAIM_KIND, name=name, if_version=held.version)
        if isinstance(result, Err) and not isinstance(result.err_value, Conflict):
            return False
        # A conflict means that an earlier deletion took effect and only its answer was lost.
        self._held.pop(name, None)
        return True

    async def _read_back(self, name: str) -> Claimed | NotClaimed | None:
        """Return how the claim stands; None if it does not stand (yet), or was not readable."""
        match await self._platform.get(kind=CLAIM_KIND, name=name):
            case Ok(StoredObject() as stored):
                return self._resolve(stored)
            case _:
                return None

    def _resolve(self, stored: StoredObject) -> Claimed | NotClaimed:
        holder = ClaimValue(
            incarnation=stored.value["incarnation"], address=stored.value["address"]
        )
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
        "send the binding of a lookup's entry with the key, or come back later",
        CLAIM_RETRY_AFTER_S,
    )


def _too_many_claims(max_held: int) -> Refusal:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.KEY_MEMORY_FULL,
        f"this entry holds {max_held} claims of keys without a binding and takes no more; "
        "send the binding of a lookup's entry with the key, or use another entry",
        CLAIM_RETRY_AFTER_S,
    )


def _already_used() -> Refusal:
    return Refusal(
        HTTPStatus.CONFLICT,
        RefusalCode.OUTCOME_UNKNOWN,
        "the key was run here, and its outcome is no longer remembered; read the outcome from "
        "the service",
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )


def _claimed_elsewhere(holder: ClaimValue) -> Refusal:
    return Refusal(
        HTTPStatus.CONFLICT,
        RefusalCode.KEY_CLAIMED_ELSEWHERE,
        f"the key is claimed by {holder['address']}, which alone may run it; repeat it there",
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )
