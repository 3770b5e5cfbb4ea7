"""Proof that a known state of the store was its newest a short time ago.

An open watch proves nothing: its connection may have gone silent, and an instance that is cut off
receives no changes. A state is proved by an answer of the store that shows no later change, with
the age counted from when the question was *sent*, or by a peer's proof of the same state, with the
age counted from when the peer was asked plus the age that the proof had then. Clocks of different
instances are never compared. The clocks must go on while the machine is suspended.
"""

import math
from collections.abc import Callable
from typing import Final, NamedTuple

from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.clock import Clock
from wagtailpoint.revision import Revision

MAX_PROOF_AGE_FRACTION: Final = 0.9
"""Fraction of the bound that a proof may be old: clock rates may differ by a tenth."""


class Proof(NamedTuple):
    """A version of the store's state, and a time at which it was the newest.

    Attributes:
        version: The version of the state.
        newest_at: The state was the newest at this time or later; by this instance's clock, in
            seconds.
    """

    version: Revision
    newest_at: float


class PeerProof(NamedTuple):
    """A proof sent to an instance that has asked for it; travels between instances.

    Attributes:
        version: The version of the state.
        age_s: Time from when the state was the newest to the arrival of the question, in seconds;
            negative if the proof is from after the question.
    """

    version: Revision
    age_s: float


class Freshness:
    """Tracks since when the known state of one kind may be stale."""

    def __init__(
        self, *, clock: Clock, version: Callable[[], Revision], bound_s: Callable[[], float]
    ) -> None:
        """Initialise the freshness without any proof.

        Args:
            clock: Must go on while the machine is suspended.
            version: Returns the version of the state that this instance has in force.
            bound_s: Returns how long a state may be stale, in seconds.
        """
        self._clock = clock
        self._version = version
        self._bound_s = bound_s
        self._proof: Proof | None = None
        self._pending_proof: Proof | None = None
        self._was_proved = True

    @property
    def age_s(self) -> float:
        """How long the state may have been stale, in seconds; infinite without a proof."""
        self._apply_pending_proof()
        return math.inf if self._proof is None else self._clock.monotonic() - self._proof.newest_at

    @property
    def is_proved(self) -> bool:
        """Whether the state can't have been stale for longer than the bound."""
        bound_s = self._bound_s()
        if bound_s == math.inf:
            return True
        age_s = self.age_s
        proved = age_s < MAX_PROOF_AGE_FRACTION * bound_s
        if proved != self._was_proved:
            self._was_proved = proved
            log_event(
                "freshness-regained" if proved else "freshness-lost",
                level="INFO" if proved else "WARNING",
                age_s=round(age_s, 3) if age_s < math.inf else "unknown",
                bound_s=bound_s,
                version=self._version(),
            )
        return proved

    def now(self) -> float:
        """Return the time that a question is counted from; call it before sending the question."""
        return self._clock.monotonic()

    def record_proof(self, version: Revision, asked_at: float) -> None:
        """Record that a version was the newest at or after the time ``asked_at``."""
        known = self._version()
        if version.era < known.era:
            # Numbers were given out again since: it says nothing of the known state.
            return
        proof = Proof(version, asked_at)
        if version > known:
            # Takes effect when that state is in force on this instance.
            self._pending_proof = proof
        elif self._proof is None or asked_at > self._proof.newest_at:
            self._proof = proof

    def record_peer_proof(self, peer_proof: PeerProof, asked_at: float) -> None:
        """Record the proof of a peer that was asked at the time ``asked_at``."""
        self.record_proof(peer_proof.version, asked_at - peer_proof.age_s)

    def proof_for_peer(self, asked_at: float) -> PeerProof | None:
        """Return the proof for a question that arrived at ``asked_at``; None without a proof."""
        self._apply_pending_proof()
        if self._proof is None:
            return None
        return PeerProof(self._proof.version, asked_at - self._proof.newest_at)

    def _apply_pending_proof(self) -> None:
        pending = self._pending_proof
        if pending is not None and pending.version <= self._version():
            self._pending_proof = None
            self.record_proof(pending.version, pending.newest_at)
