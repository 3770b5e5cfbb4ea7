"""Spends the allowances of workspaces: asks the holders of their slots, and answers as one.

A request asks for itself, and for as many as will come within the life of a grant at the rate of
late: few tokens lie where nobody wants them.
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


MOST_AHEAD: Final = 8
"""Tokens that are asked for together."""

RATE_HALF_LIFE_S: Final = 2.0


class AllowanceQuestion(NamedTuple):
    """Asks for tokens of a workspace from the holder of a slot."""

    workspace: str
    region: str
    number: int
    wanted: int


class AllowanceAnswer(NamedTuple):
    """The answer.

    Attributes:
        held: Whether the slot is held here, and the workspace known.
        tokens: How many are given.
        wait_s: If none, the seconds until there will be one.
    """

    held: bool
    tokens: int
    wait_s: float


register_message("allowance-question", AllowanceQuestion)
register_message("allowance-answer", AllowanceAnswer)

NO_WORKSPACE: Final = ""
"""Asked for only to hear any answer."""

NOT_HELD: Final = AllowanceAnswer(False, 0, 0.0)


class SpendResult(NamedTuple):
    """What became of the attempt to spend a token.

    Attributes:
        granted: There was one.
        wait_s: Else, the seconds until there will be one; infinite if no holder answered.
        told: What each slot's holder said, for the log.
    """

    granted: bool
    wait_s: float
    told: str


class _Demand:
    """What this instance's callers ask for one workspace, and what is left of a grant."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = 0.0
        self._left = 0
        self._left_until = -math.inf

    def note(self, now: float) -> None:
        """A request came."""
        self._rate = self._rate * 0.5 ** ((now - self._at) / RATE_HALF_LIFE_S)
        self._rate += math.log(2) / RATE_HALF_LIFE_S
        self._at = now

    def wanted(self) -> int:
        """How many tokens will be used by the end of a grant that is asked for now."""
        return max(1, min(MOST_AHEAD, int(GRANT_S * self._rate)))

    def take_left(self, now: float) -> bool:
        """Use one that is left of a grant."""
        if self._left == 0 or now >= self._left_until:
            return False
        self._left -= 1
        return True

    def keep(self, tokens: int, until: float) -> None:
        """Keep what is left of a grant, instead of what was left of another one."""
        self._left, self._left_until = tokens, until


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
        self._demands: dict[str, _Demand] = {}
        self._empty_until: dict[tuple[str, Slot], float] = {}
        self._unanswered_until: dict[Slot, float] = {}
        peers.handle(AllowanceQuestion, self._answer)

    async def run(self) -> None:
        """Keep the links to the holders open until cancelled, if requests will need them."""
        while True:
            if self._is_entry() and any(self._allowances().values()):
                async with trio.open_nursery() as nursery:
                    for slot in all_slots(self._regions):
                        nursery.start_soon(self._answer_of, NO_WORKSPACE, slot, 1)
            await trio.sleep(KEEP_LINKS_INTERVAL_S * self._random.uniform(0.8, 1.2))

    async def spend(self, workspace: str) -> SpendResult:
        """Spend a token of a workspace that has an allowance."""
        now = self._clock.monotonic()
        demand = self._demands.setdefault(workspace, _Demand())
        demand.note(now)
        if demand.take_left(now):
            return SpendResult(True, 0.0, "ahead")
        least_wait_s = math.inf
        told = []
        for slot in self._in_order(workspace):
            wait_s = await self._ask(workspace, slot, demand)
            if wait_s == 0.0:
                return SpendResult(True, 0.0, slot.name)
            least_wait_s = min(least_wait_s, wait_s)
            told.append(f"{slot.region}:{wait_s:.3f}s")
        return SpendResult(False, least_wait_s, ",".join(told))

    def _in_order(self, workspace: str) -> list[Slot]:
        slots = list(slots_of(workspace, self._regions))
        self._random.shuffle(slots)
        return sorted(slots, key=lambda slot: slot.region != self._own_region)

    async def _ask(self, workspace: str, slot: Slot, demand: _Demand) -> float:
        """Seconds until there is a token, 0 if it is given; infinite without an answer."""
        asked_at = self._clock.monotonic()
        left_s = self._empty_until.get((workspace, slot), 0.0) - asked_at
        if left_s > 0.0:
            return left_s
        if asked_at < self._unanswered_until.get(slot, 0.0):
            return math.inf
        answer = await self._answer_of(workspace, slot, demand.wanted())
        if not answer.held or self._clock.monotonic() - asked_at > GRANT_S:
            self._unanswered_until[slot] = asked_at + UNANSWERED_S
            return math.inf
        if answer.tokens == 0:
            wait_s = max(LEAST_EMPTY_S, answer.wait_s)
            self._empty_until[workspace, slot] = self._clock.monotonic() + wait_s
            return wait_s
        demand.keep(answer.tokens - 1, asked_at + GRANT_S)
        return 0.0

    async def _answer_of(self, workspace: str, slot: Slot, wanted: int) -> AllowanceAnswer:
        if self._slots.held(slot):
            return self._take(workspace, slot, wanted)
        address = self._slots.holder(slot)
        if address is None or address.address == self._peers.address.address:
            return NOT_HELD
        question = AllowanceQuestion(workspace, slot.region, slot.number, wanted)
        answered = await self._peers.request(address, question, timeout_s=GRANT_S)
        if isinstance(answered, Ok) and isinstance(answered.ok_value, AllowanceAnswer):
            return answered.ok_value
        return NOT_HELD

    def _answer(self, received: Received) -> AllowanceAnswer:
        question: AllowanceQuestion = received.message
        slot = Slot(question.region, question.number)
        return self._take(question.workspace, slot, max(1, min(MOST_AHEAD, question.wanted)))

    def _take(self, workspace: str, slot: Slot, wanted: int) -> AllowanceAnswer:
        """Take tokens out of a slot's bucket; checked and spent in one step."""
        allowances = self._allowances()
        if not self._slots.held(slot) or workspace not in allowances:
            return NOT_HELD
        allowance = allowances[workspace]
        if allowance is None:
            return AllowanceAnswer(True, wanted, 0.0)
        now = self._clock.monotonic()
        bucket = self._bucket(workspace, slot)
        part = 1 / len(self._regions)
        taken = bucket.take(allowance, wanted=wanted, part=part, slack=self._slack(), now=now)
        return AllowanceAnswer(True, taken.tokens, taken.wait_s)

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
