"""Spends the allowances of workspaces: asks the holders of their slots, and answers as one.

Nothing is kept ahead of need: each request asks for itself, so no token lies where nobody wants it.
"""

import math
from collections.abc import Callable, Mapping
from random import Random
from typing import Final, NamedTuple

import trio
from result import Ok

from wagtailpoint.limits.allowance import Allowance, AllowanceBucket
from wagtailpoint.limits.allowance_slots import AllowanceSlots, Slot, all_slots, slots_of
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import Peers, Received, register_message

GRANT_S: Final = 0.5
"""A token is spent so soon after it was asked for, or not at all; above a round trip between the
regions that are furthest apart."""

KEEP_LINKS_INTERVAL_S: Final = 10.0
"""A link to a far holder takes several round trips to open, and is closed when it is not used."""

LEAST_EMPTY_S: Final = 0.05
"""An empty bucket is not asked again earlier: one that is pressed would be asked by all at once."""

UNANSWERED_S: Final = 0.5
"""Who did not answer, or does not hold the slot, is not asked again earlier."""


class AllowanceQuestion(NamedTuple):
    """Asks for a token of a workspace from the holder of a slot."""

    workspace: str
    region: str
    number: int


class AllowanceAnswer(NamedTuple):
    """The answer.

    Attributes:
        held: Whether the slot is held here, and the workspace known.
        wait_s: 0 if the token is given, else the seconds until there will be one.
    """

    held: bool
    wait_s: float


register_message("allowance-question", AllowanceQuestion)
register_message("allowance-answer", AllowanceAnswer)

NO_WORKSPACE: Final = ""
"""Asked for only to hear any answer."""

NOT_HELD: Final = AllowanceAnswer(False, 0.0)


class Spent(NamedTuple):
    """What became of the attempt to spend a token.

    Attributes:
        granted: There was one.
        wait_s: Else, the seconds until there will be one; infinite if no holder answered.
        told: What each slot's holder said, for the log.
    """

    granted: bool
    wait_s: float
    told: str


class _Held(NamedTuple):
    """The buckets of a slot since it was taken."""

    taken_at: float
    buckets: dict[str, AllowanceBucket]


class AllowanceSharing:
    """Spends tokens for requests that arrive here, and gives them out to other instances."""

    def __init__(
        self,
        *,
        slots: AllowanceSlots,
        peers: Peers,
        clock: Clock,
        own_region: str,
        regions: frozenset[str],
        allowances: Callable[[], Mapping[str, Allowance | None]],
        slack: Callable[[], float],
        is_entry: Callable[[], bool],
        random: Random,
    ) -> None:
        """Make it.

        Args:
            slots: Who holds which slot.
            peers: The links to the others.
            clock: Must count suspension.
            own_region: The region of this instance, whose holder is asked first.
            regions: All regions; each has the same part.
            allowances: Those of all workspaces, by the configuration in force; None: not limited.
            slack: Requests in a window that all may let through beside an allowance.
            is_entry: Whether callers are told to use this instance.
            random: The order in which the other regions are asked.
        """
        self._slots = slots
        self._peers = peers
        self._clock = clock
        self._own_region = own_region
        self._regions = regions
        self._allowances = allowances
        self._slack = slack
        self._is_entry = is_entry
        self._random = random
        self._held: dict[Slot, _Held] = {}
        self._empty_until: dict[tuple[str, Slot], float] = {}
        self._unanswered_until: dict[Slot, float] = {}
        peers.handle(AllowanceQuestion, self._answer)

    async def run(self) -> None:
        """Keep the links to the holders open until cancelled, if requests will need them."""
        while True:
            if self._is_entry() and any(self._allowances().values()):
                async with trio.open_nursery() as nursery:
                    for slot in all_slots(self._regions):
                        nursery.start_soon(self._answer_of, NO_WORKSPACE, slot)
            await trio.sleep(KEEP_LINKS_INTERVAL_S * self._random.uniform(0.8, 1.2))

    async def spend(self, workspace: str) -> Spent:
        """Spend a token of a workspace that has an allowance."""
        least_wait_s = math.inf
        told = []
        for slot in self._in_order(workspace):
            wait_s = await self._ask(workspace, slot)
            if wait_s == 0.0:
                return Spent(True, 0.0, slot.name)
            least_wait_s = min(least_wait_s, wait_s)
            told.append(f"{slot.region}:{wait_s:.3f}s")
        return Spent(False, least_wait_s, ",".join(told))

    def _in_order(self, workspace: str) -> list[Slot]:
        slots = list(slots_of(workspace, self._regions))
        self._random.shuffle(slots)
        return sorted(slots, key=lambda slot: slot.region != self._own_region)

    async def _ask(self, workspace: str, slot: Slot) -> float:
        """Seconds until there is a token, 0 if it is given; infinite without an answer."""
        asked_at = self._clock.monotonic()
        left_s = self._empty_until.get((workspace, slot), 0.0) - asked_at
        if left_s > 0.0:
            return left_s
        if asked_at < self._unanswered_until.get(slot, 0.0):
            return math.inf
        answer = await self._answer_of(workspace, slot)
        if not answer.held or self._clock.monotonic() - asked_at > GRANT_S:
            self._unanswered_until[slot] = asked_at + UNANSWERED_S
            return math.inf
        if answer.wait_s > 0.0:
            wait_s = max(LEAST_EMPTY_S, answer.wait_s)
            self._empty_until[workspace, slot] = self._clock.monotonic() + wait_s
            return wait_s
        return 0.0

    async def _answer_of(self, workspace: str, slot: Slot) -> AllowanceAnswer:
        if self._slots.held(slot):
            return self._take(workspace, slot)
        address = self._slots.holder(slot)
        if address is None or address.address == self._peers.address.address:
            return NOT_HELD
        question = AllowanceQuestion(workspace, slot.region, slot.number)
        answered = await self._peers.request(address, question, timeout_s=GRANT_S)
        if isinstance(answered, Ok) and isinstance(answered.ok_value, AllowanceAnswer):
            return answered.ok_value
        return NOT_HELD

    def _answer(self, received: Received) -> AllowanceAnswer:
        question: AllowanceQuestion = received.message
        return self._take(question.workspace, Slot(question.region, question.number))

    def _take(self, workspace: str, slot: Slot) -> AllowanceAnswer:
        """Take a token out of a slot's bucket; checked and spent in one step."""
        allowances = self._allowances()
        if not self._slots.held(slot) or workspace not in allowances:
            return NOT_HELD
        allowance = allowances[workspace]
        if allowance is None:
            return AllowanceAnswer(True, 0.0)
        now = self._clock.monotonic()
        bucket = self._bucket(workspace, slot)
        part = 1 / len(self._regions)
        wait_s = bucket.take(allowance, part=part, slack=self._slack(), now=now)
        return AllowanceAnswer(True, wait_s)

    def _bucket(self, workspace: str, slot: Slot) -> AllowanceBucket:
        """The bucket of a workspace, which fills from when the slot was taken."""
        taken_at = self._slots.taken_at(slot)
        held = self._held.get(slot)
        if held is None or held.taken_at != taken_at:
            held = self._held[slot] = _Held(taken_at, {})
        bucket = held.buckets.get(workspace)
        if bucket is None:
            bucket = held.buckets[workspace] = AllowanceBucket(now=taken_at)
        return bucket
