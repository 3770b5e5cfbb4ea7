"""Sharing of allowances: takes tokens from the holders of slots, and grants them as a holder.

A request asks for one token, plus those for the requests expected within the lifetime of the grant
at the recent rate, so that few granted tokens stay unused.
"""

import math
from collections.abc import Callable, Mapping
from random import Random
from typing import Final, NamedTuple

import trio
from result import Ok

from wagtailpoint.limits.allowance import Allowance, AllowanceBucket
from wagtailpoint.limits.allowance_backlog import AllowanceBacklog
from wagtailpoint.limits.allowance_slots import AllowanceSlots, Slot, all_slots, slots_for_workspace
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import Peers, Received, register_message

GRANT_TTL_S: Final = 0.5
"""Time from the question after which a granted token is invalid. It exceeds the round trip between
the regions that are furthest apart."""

LINK_KEEPALIVE_INTERVAL_S: Final = 10.0
"""Interval of questions that keep links open: opening a link to a distant holder takes several
round trips, and an unused link is closed."""

MIN_EMPTY_DELAY_S: Final = 0.05
"""Minimum delay before an empty bucket is asked again, so that not all instances ask at once while
it is in demand."""

UNANSWERED_DELAY_S: Final = 0.5
"""Delay before an instance that did not answer or does not hold the slot is asked again."""

RECENTLY_EMPTY_S: Final = 1.0
"""Time after a bucket was empty in which it is asked by one request at a time, as further answers
at the same moment would also be that it is empty."""

MAX_TOKENS_PER_GRANT: Final = 8
"""Maximum number of tokens in one grant."""

RATE_HALF_LIFE_S: Final = 2.0
"""Half-life of the request rate by which the number of tokens in a question is chosen."""


class AllowanceQuestion(NamedTuple):
    """Asks the holder of a slot for tokens of a workspace.

    Attributes:
        workspace: Name of the workspace.
        region: Region of the slot.
        number: Number of the slot in the region.
        wanted: Number of tokens wanted.
    """

    workspace: str
    region: str
    number: int
    wanted: int


class AllowanceAnswer(NamedTuple):
    """Answers an ``AllowanceQuestion``.

    Attributes:
        held: Whether the sender holds the slot and knows the workspace.
        tokens: Number of tokens granted.
        wait_s: Time in seconds until a token is available; 0 if any was granted.
    """

    held: bool
    tokens: int
    wait_s: float


register_message("allowance-question", AllowanceQuestion)
register_message("allowance-answer", AllowanceAnswer)

NO_WORKSPACE: Final = ""
"""Workspace name in questions that only keep a link open."""

NOT_HELD: Final = AllowanceAnswer(False, 0, 0.0)


class SpendResult(NamedTuple):
    """Result of an attempt to spend a token.

    Attributes:
        granted: Whether a token was spent.
        wait_s: If not, the time in seconds until one is available; infinite if no holder answered.
        told: Source of the token if granted, otherwise the waits of all slots; for the log.
    """

    granted: bool
    wait_s: float
    told: str


class _Demand:
    """Request rate of a workspace at this instance, and unspent tokens of its latest grant."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._decayed_at = 0.0
        self._granted_tokens = 0
        self._granted_until = -math.inf

    def record_request(self, now: float) -> None:
        """Record that a request arrived."""
        self._rate = self._rate * 0.5 ** ((now - self._decayed_at) / RATE_HALF_LIFE_S)
        self._rate += math.log(2) / RATE_HALF_LIFE_S
        self._decayed_at = now

    def tokens_wanted(self) -> int:
        """Return the number of tokens expected to be used during the lifetime of a new grant."""
        return max(1, min(MAX_TOKENS_PER_GRANT, int(GRANT_TTL_S * self._rate)))

    def has_granted(self, now: float) -> bool:
        """Return whether an unspent token of the latest grant is left."""
        return self._granted_tokens > 0 and now < self._granted_until

    def take_granted(self, now: float) -> bool:
        """Take an unspent token of the latest grant; return whether there was one."""
        if not self.has_granted(now):
            return False
        self._granted_tokens -= 1
        return True

    def keep(self, tokens: int, until: float) -> None:
        """Store the unspent tokens of a new grant; those of an earlier one are dropped."""
        self._granted_tokens, self._granted_until = tokens, until


class _SlotBuckets(NamedTuple):
    """The buckets of a slot, by workspace, since the slot was taken."""

    taken_at: float
    buckets: dict[str, AllowanceBucket]


class AllowanceSharing:
    """Spends tokens for requests of this instance, and grants tokens to other instances."""

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
        """Initialise the sharing.

        Args:
            slots: The slots and their holders.
            peers: Links to the other instances.
            clock: Clock that also advances while the machine is suspended.
            own_region: Region of this instance; the holder in it is asked first.
            regions: All regions; each has the same fraction of every allowance.
            allowances: Returns the allowances of all workspaces in the effective configuration;
                None for a workspace without a limit.
            slack: Returns the number of requests in a window that all instances together may admit
                beyond an allowance.
            is_entry: Returns whether callers are directed to this instance.
            random: Source of randomness for the order of regions and for intervals.
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
        self._buckets_by_slot: dict[Slot, _SlotBuckets] = {}
        self._demands: dict[str, _Demand] = {}
        self._empty_until: dict[tuple[str, Slot], float] = {}
        self._unanswered_until: dict[Slot, float] = {}
        self._questions: dict[tuple[str, Slot], trio.Event] = {}
        self._backlogs: dict[str, AllowanceBacklog] = {}
        self._slots_by_workspace: dict[str, list[Slot]] = {}
        peers.handle(AllowanceQuestion, self._handle_question)

    async def run(self) -> None:
        """Keep the links to the holders open while they may be needed, until cancelled."""
        while True:
            if self._is_entry() and any(self._allowances().values()):
                async with trio.open_nursery() as nursery:
                    for slot in all_slots(self._regions):
                        nursery.start_soon(self._request_tokens, NO_WORKSPACE, slot, 1)
            await trio.sleep(LINK_KEEPALIVE_INTERVAL_S * self._random.uniform(0.8, 1.2))

    async def spend(self, workspace: str) -> SpendResult:
        """Spend a token of a workspace that has an allowance, asking slot holders if needed."""
        now = self._clock.monotonic()
        demand = self._demands.setdefault(workspace, _Demand())
        demand.record_request(now)
        if demand.take_granted(now):
            self.backlog(workspace).record_granted()
            return SpendResult(True, 0.0, "ahead")
        min_wait_s = math.inf
        told = []
        for slot in self._slots_in_order(workspace):
            wait_s = await self._spend_from(workspace, slot, demand)
            if wait_s == 0.0:
                self.backlog(workspace).record_granted()
                return SpendResult(True, 0.0, slot.name)
            min_wait_s = min(min_wait_s, wait_s)
            told.append(f"{slot.region}:{wait_s:.3f}s")
        return SpendResult(False, min_wait_s, ",".join(told))

    def known_wait_s(self, workspace: str) -> float:
        """Return for how long a workspace is known to be over its allowance, in seconds.

        Asks nobody. It is 0 if a token may be available: an unspent one is left, or a holder may be
        asked. It is also 0 if no holder has answered, since then nothing is known.
        """
        demand = self._demands.get(workspace)
        now = self._clock.monotonic()
        if demand is None or demand.has_granted(now):
            return 0.0
        min_wait_s = math.inf
        for slot in self._slots_of(workspace):
            wait_s = self._empty_until.get((workspace, slot), 0.0) - now
            if wait_s > 0.0:
                min_wait_s = min(min_wait_s, wait_s)
            elif wait_s > -RECENTLY_EMPTY_S and (workspace, slot) in self._questions:
                min_wait_s = min(min_wait_s, MIN_EMPTY_DELAY_S)
            elif now >= self._unanswered_until.get(slot, 0.0):
                return 0.0
        return min_wait_s if min_wait_s < math.inf else 0.0

    def backlog(self, workspace: str) -> AllowanceBacklog:
        """Return the callers of a workspace who wait here or were told to come back."""
        backlog = self._backlogs.get(workspace)
        if backlog is None:
            backlog = self._backlogs[workspace] = AllowanceBacklog(monotonic=self._clock.monotonic)
        return backlog

    def _slots_of(self, workspace: str) -> list[Slot]:
        slots = self._slots_by_workspace.get(workspace)
        if slots is None:
            slots = list(slots_for_workspace(workspace, self._regions))
            self._slots_by_workspace[workspace] = slots
        return slots

    def _slots_in_order(self, workspace: str) -> list[Slot]:
        slots = list(self._slots_of(workspace))
        self._random.shuffle(slots)
        return sorted(slots, key=lambda slot: slot.region != self._own_region)

    async def _spend_from(self, workspace: str, slot: Slot, demand: _Demand) -> float:
        """Spend a token of one slot.

        Returns:
            0 if a token was granted, otherwise the time in seconds until one is available;
            infinite without an answer.
        """
        key = (workspace, slot)
        while True:
            asked_at = self._clock.monotonic()
            remaining_s = self._empty_until.get(key, -math.inf) - asked_at
            if remaining_s > 0.0:
                return remaining_s
            question = self._questions.get(key)
            if question is None or remaining_s < -RECENTLY_EMPTY_S:
                break
            await question.wait()
            if demand.take_granted(self._clock.monotonic()):
                return 0.0
        if asked_at < self._unanswered_until.get(slot, 0.0):
            return math.inf
        question = self._questions[key] = trio.Event()
        try:
            answer = await self._request_tokens(workspace, slot, demand.tokens_wanted())
        finally:
            # A later question may have taken the place of this one.
            if self._questions.get(key) is question:
                del self._questions[key]
            question.set()
        if not answer.held or self._clock.monotonic() - asked_at > GRANT_TTL_S:
            self._unanswered_until[slot] = asked_at + UNANSWERED_DELAY_S
            return math.inf
        if answer.tokens == 0:
            wait_s = max(MIN_EMPTY_DELAY_S, answer.wait_s)
            self._empty_until[key] = self._clock.monotonic() + wait_s
            return wait_s
        demand.keep(answer.tokens - 1, asked_at + GRANT_TTL_S)
        return 0.0

    async def _request_tokens(self, workspace: str, slot: Slot, wanted: int) -> AllowanceAnswer:
        if self._slots.held(slot):
            return self._take(workspace, slot, wanted)
        address = self._slots.holder(slot)
        if address is None or address.address == self._peers.address.address:
            return NOT_HELD
        question = AllowanceQuestion(workspace, slot.region, slot.number, wanted)
        answered = await self._peers.request(address, question, timeout_s=GRANT_TTL_S)
        if isinstance(answered, Ok) and isinstance(answered.ok_value, AllowanceAnswer):
            return answered.ok_value
        return NOT_HELD

    def _handle_question(self, received: Received) -> AllowanceAnswer:
        question: AllowanceQuestion = received.message
        slot = Slot(question.region, question.number)
        return self._take(
            question.workspace, slot, max(1, min(MAX_TOKENS_PER_GRANT, question.wanted))
        )

    def _take(self, workspace: str, slot: Slot, wanted: int) -> AllowanceAnswer:
        """Take tokens from a bucket of a slot.

        There is no checkpoint between the check that the slot is held and the taking.
        """
        allowances = self._allowances()
        if not self._slots.held(slot) or workspace not in allowances:
            return NOT_HELD
        allowance = allowances[workspace]
        if allowance is None:
            return AllowanceAnswer(True, wanted, 0.0)
        now = self._clock.monotonic()
        bucket = self._bucket(workspace, slot)
        fraction = 1 / len(self._regions)
        taken = bucket.take(
            allowance, wanted=wanted, fraction=fraction, slack=self._slack(), now=now
        )
        return AllowanceAnswer(True, taken.tokens, taken.wait_s)

    def _bucket(self, workspace: str, slot: Slot) -> AllowanceBucket:
        """Return the bucket of a workspace, which fills from the time the slot was taken."""
        taken_at = self._slots.taken_at(slot)
        held = self._buckets_by_slot.get(slot)
        if held is None or held.taken_at != taken_at:
            held = self._buckets_by_slot[slot] = _SlotBuckets(taken_at, {})
        bucket = held.buckets.get(workspace)
        if bucket is None:
            bucket = held.buckets[workspace] = AllowanceBucket(now=taken_at)
        return bucket
