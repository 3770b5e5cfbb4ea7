"""Asks a peer for its state of the store while this instance can't reach the store."""

from collections.abc import Mapping, Sequence
from random import Random
from typing import Any, NamedTuple

from result import Ok

from wagtailpoint.discovery.follower import KindFollower
from wagtailpoint.discovery.freshness import Freshness, PeerProof
from wagtailpoint.discovery.kind_state import CarriedOver, KindState, PeerState
from wagtailpoint.membership import Membership
from wagtailpoint.ports.peers import PeerAddress, Peers, Received, register_message
from wagtailpoint.ports.platform import StoredObject
from wagtailpoint.revision import NO_REVISION, Revision

REPLY_TIMEOUT_S = 0.4
"""Longer than a round trip between the two most distant regions (110 ms)."""


class StateQuestion(NamedTuple):
    """Asks for the state of a kind if it is newer than a version."""

    kind: str
    newer_than: Revision


class StateAnswer(NamedTuple):
    """Answers with the state, or with ``NO_REVISION`` if there is no newer one.

    Attributes:
        reached: Whether the answering instance reaches the store.
        version: The store's version.
        objects: Name, version and value of each object.
        carried: What is believed from before a return of the store, by name.
        proof: Proof of that state, or of the version in the question if there is no newer one.
    """

    reached: bool
    version: Revision
    objects: Sequence[tuple[str, Revision, Any]]
    carried: Sequence[tuple[str, CarriedOver]] = ()
    proof: PeerProof | None = None


register_message("state-question-by-revision", StateQuestion)
register_message("state-answer-by-revision", StateAnswer)


class PeerStateExchange:
    """Asks peers for states and answers them; implements ``discovery.kind_state.PeerStates``."""

    def __init__(
        self,
        *,
        peers: Peers,
        membership: Membership,
        seeds: Sequence[PeerAddress],
        random: Random,
        proofs: Mapping[str, Freshness],
    ) -> None:
        """Initialise the exchange, without any kind to answer for.

        Args:
            peers: The links to the other instances.
            membership: Knows the live instances.
            seeds: Addresses to ask while no other instance is known to be live.
            random: Chooses the peer to ask.
            proofs: The freshness of each kind whose proof is sent along.
        """
        self._proofs = proofs
        self._peers = peers
        self._membership = membership
        self._seeds = tuple(seeds)
        self._random = random
        self._followers: Mapping[str, KindFollower] = {}
        peers.handle(StateQuestion, self._on_question)

    def set_followers(self, followers: Mapping[str, KindFollower]) -> None:
        """Set the followers, by kind, whose states are sent to peers."""
        self._followers = followers

    async def ask(self, kind: str, newer_than: Revision) -> PeerState | None:
        """Ask a random peer for a newer state; None if there is no peer or no answer."""
        peer = self._choose_peer()
        if peer is None:
            return None
        proof = self._proofs.get(kind)
        asked_at = proof.now() if proof is not None else 0.0
        answered = await self._peers.request(
            peer, StateQuestion(kind, newer_than), timeout_s=REPLY_TIMEOUT_S
        )
        if not isinstance(answered, Ok) or not isinstance(answered.ok_value, StateAnswer):
            return None
        answer = answered.ok_value
        if proof is not None and answer.proof is not None:
            proof.record_peer_proof(answer.proof, asked_at)
        if answer.version <= newer_than:
            return PeerState(answer.reached, None)
        objects = {
            name: StoredObject(kind, name, version, value)
            for name, version, value in answer.objects
        }
        state = KindState(answer.version, objects, dict(answer.carried))
        return PeerState(answer.reached, state)

    def _choose_peer(self) -> PeerAddress | None:
        own = self._peers.address
        live = [
            member.peer_address
            for member in self._membership.members()
            if member.state in ("live", "isolated", "leaving") and member.address != own.address
        ]
        choices = live or [seed for seed in self._seeds if seed.address != own.address]
        return self._random.choice(choices) if choices else None

    def _on_question(self, received: Received) -> StateAnswer:
        question: StateQuestion = received.message
        follower = self._followers.get(question.kind)
        if follower is None:
            return StateAnswer(False, NO_REVISION, ())
        follower.record_era(question.newer_than)
        reached = follower.lost_for_s == 0.0
        freshness = self._proofs.get(question.kind)
        proof = freshness.proof_for_peer(freshness.now()) if freshness is not None else None
        state = follower.state
        if state.version <= question.newer_than:
            return StateAnswer(reached, NO_REVISION, (), proof=proof)
        objects = [(stored.name, stored.version, stored.value) for stored in state.objects.values()]
        return StateAnswer(reached, state.version, objects, tuple(state.carried.items()), proof)
