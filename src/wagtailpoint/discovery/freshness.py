"""Proof that a state of the store was its newest a short time ago.

A watch that is open proves nothing: its connection may have gone silent, and a cut instance hears
of no change. What proves a state is an answer of the store that shows no later change, counted from
when the question was *sent*, or a peer's proof of the same state, counted from when the peer was
asked, with the age that the proof had then. No two clocks are compared, and they count suspension.
"""

import math
from collections.abc import Callable
from typing import Final, NamedTuple

from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.clock import Clock

MAX_PROOF_AGE_FRACTION: Final = 0.9
"""Of the bound, for a proof: clock rates may differ by a tenth."""


class Proof(NamedTuple):
    """A state of the store, and when it was the newest.

    Attributes:
        version: The version of the state.
        at: It was the newest at this moment, or later; by the clock of the instance.
    """

    version: int
    newest_at: float


class PeerProof(NamedTuple):
    """A proof as one instance tells it another that has asked; travels between instances.

    Attributes:
        version: The version of the state.
        age_s: How long before the question arrived it was the newest; negative if it was later.
    """

    version: int
    age_s: float


class Freshness:
    """Since when the state of one kind may be outdated."""

    def __init__(
        self, *, clock: Clock, version: Callable[[], int], bound_s: Callable[[], float]
    ) -> None:
        """Make it without any proof.

        Args:
            clock: Must count suspension.
            version: The version of the state that this instance has in force; 0 if it has none.
            bound_s: A state may be outdated for so long, in seconds.
        """
        self._clock = clock
        self._version = version
        self._bound_s = bound_s
        self._proof: Proof | None = None
        self._pending_proof: Proof | None = None
        self._was_proved = True

    @property
    def age_s(self) -> float:
        """For how long the state may be outdated, in seconds."""
        self._apply_pending_proof()
        return math.inf if self._proof is None else self._clock.monotonic() - self._proof.newest_at

    @property
    def is_proved(self) -> bool:
        """Whether the state can't be outdated for longer than the bound."""
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
        """The moment to count a question from; to be taken before it is sent."""
        return self._clock.monotonic()

    def record_proof(self, version: int, asked_at: float) -> None:
        """The state of a version was the newest when or after a question was sent."""
        proof = Proof(version, asked_at)
        if version > self._version():
            # Counts when that state is in force here.
            self._pending_proof = proof
        elif self._proof is None or asked_at > self._proof.newest_at:
            self._proof = proof

    def record_peer_proof(self, peer_proof: PeerProof, asked_at: float) -> None:
        """A peer that was asked at a moment told its proof."""
        self.record_proof(peer_proof.version, asked_at - peer_proof.age_s)

    def proof_for_peer(self, asked_at: float) -> PeerProof | None:
        """What to tell a peer whose question arrived at a moment; None without a proof."""
        self._apply_pending_proof()
        if self._proof is None:
            return None
        return PeerProof(self._proof.version, asked_at - self._proof.newest_at)

    def _apply_pending_proof(self) -> None:
        awaited = self._pending_proof
        if awaited is not None and awaited.version <= self._version():
            self._pending_proof = None
            self.record_proof(awaited.version, awaited.newest_at)
