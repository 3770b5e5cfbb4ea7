"""Searches for schedules in which a seat is spent twice or a former holder still writes."""

import unittest
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from loguru import logger

from tests.common.stepped_platform import SteppedCheck, SteppedProcess, World
from wagtailpoint.limits.keeper import KeeperPlace, SeatKeeper
from wagtailpoint.limits.lease import Holder, Lease

LEASE_S = 10.0
LOAN_S = 4.0
LIST_MARGIN_S = 7.0
MOST_TICK_S = 1.0
STEP_S = 2.5
NAMES = ("inv-a-0", "inv-b-0")
ADDRESSES = 3
WHICH = st.integers(0, ADDRESSES - 1)
SECONDS = st.sampled_from([0.5, 2.0, 3.0, 6.0, 8.0, 9.5, 10.0, 12.0])


class Processes(RuleBasedStateMachine):
    """Processes that freeze, wake, die and restart around one platform that fails."""

    def __init__(self) -> None:
        super().__init__()
        logger.disable("wagtailpoint.limits")
        self.world = World()
        self.every: list[SteppedProcess] = []
        self.living: list[SteppedProcess] = []
        self.actors: dict[SteppedProcess, Any] = {}

    def actor_for(self, process: SteppedProcess) -> Any:
        raise NotImplementedError

    def beat(self, process: SteppedProcess) -> None:
        """What an awake process does every moment."""

    @initialize(rates=st.lists(st.sampled_from([0.97, 1.0, 1.03]), min_size=3, max_size=3))
    def start(self, rates: list[float]) -> None:
        self.rates = rates
        for which in range(ADDRESSES):
            self.living.append(self.start_process(which))

    def start_process(self, which: int) -> SteppedProcess:
        number = len(self.every)
        holder = Holder(f"127.0.0.{which}", 1, 100 + number)
        process = SteppedProcess(
            self.world, holder, rate=self.rates[which], offset=1e6 * (number + 1)
        )
        self.every.append(process)
        self.actors[process] = self.actor_for(process)
        return process

    @rule(seconds=SECONDS)
    def pass_time(self, seconds: float) -> None:
        while seconds > 0:
            tick = min(seconds, MOST_TICK_S)
            self.world.now += tick
            seconds -= tick
            for process in self.living:
                if process.awake:
                    self.beat(process)
            self.check()

    @rule(which=WHICH)
    def begin_step(self, which: int) -> None:
        process = self.living[which]
        process.begin(self.actors[process].step)

    @rule(which=WHICH)
    def whole_step(self, which: int) -> None:
        self.begin_step(which)
        self.living[which].finish()

    @rule(seconds=SECONDS)
    def all_step_and_wait(self, seconds: float) -> None:
        for which in range(ADDRESSES):
            self.whole_step(which)
        self.pass_time(seconds)

    @rule(seconds=st.sampled_from([12.5, 25.0]), only=st.none() | WHICH)
    def work(self, seconds: float, only: int | None) -> None:
        """Time passes, and all awake processes, or only one, take their steps."""
        for _ in range(int(seconds / STEP_S)):
            for which in range(ADDRESSES) if only is None else [only]:
                self.living[which].finish()
                self.whole_step(which)
                self.check()
            self.pass_time(STEP_S)

    @rule(which=WHICH, other=WHICH, skipped=st.integers(0, 2), early=st.booleans())
    def slow_write(self, which: int, other: int, skipped: int, early: bool) -> None:
        """One of a step's writes, or its answer, is under way for longer than a lease."""
        process = self.living[which]
        process.finish()
        self.begin_step(which)
        while process.awake and (request := process.waiting) is not None:
            if request.is_write and skipped == 0:
                break
            skipped -= request.is_write
            request.deliver(self.world)
            process.receive()
        if early:
            self.deliver(which)
        self.work(12.5, other)
        self.deliver(which)
        process.receive()
        self.check()

    @rule(which=WHICH)
    def deliver(self, which: int) -> None:
        request = self.living[which].waiting
        if request is not None:
            request.deliver(self.world)

    @rule(which=WHICH)
    def receive(self, which: int) -> None:
        self.living[which].receive()

    @rule(which=WHICH)
    def lose(self, which: int) -> None:
        self.living[which].receive(lost=True)

    @rule()
    def deliver_late(self) -> None:
        for request in self.world.on_their_way:
            if not request.delivered:
                request.deliver(self.world)
                return

    @rule(which=WHICH)
    def freeze(self, which: int) -> None:
        process = self.living[which]
        process.frozen_since = process.frozen_since or self.world.now

    @rule(which=WHICH)
    def wake(self, which: int) -> None:
        self.living[which].frozen_since = None

    @rule(which=WHICH)
    def restart(self, which: int) -> None:
        self.living[which].kill()
        self.living[which] = self.start_process(which)

    @rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.world.down = down

    def check(self) -> None:
        """What must hold at every moment."""

    def teardown(self) -> None:
        logger.enable("wagtailpoint.limits")


class Seats(Processes):
    """Shares of a limit, spent by several keepers."""

    def actor_for(self, process: SteppedProcess) -> SeatKeeper:
        return SeatKeeper(
            platform=process.platform,
            clock=process.clock,
            check=SteppedCheck(self.world, self.every, margin_s=LIST_MARGIN_S),
            place=KeeperPlace(process.holder, "inv-a"),
            names=lambda: NAMES,
            lease_s=LEASE_S,
            loan_s=LOAN_S,
            drained=lambda name: process.drained,
        )

    def beat(self, process: SteppedProcess) -> None:
        self.actors[process].beat()

    @rule(which=WHICH, drained=st.sampled_from([True, True, False]))
    def requests_in_flight(self, which: int, drained: bool) -> None:
        self.living[which].drained = drained

    @rule(which=WHICH, sure=st.sampled_from([True, False, False]))
    def stop(self, which: int, sure: bool) -> None:
        if sure and self.living[which].awake:
            self.actors[self.living[which]].give_up_all()

    @invariant()
    def check(self) -> None:
        spent = dict.fromkeys(NAMES, 0.0)
        for process in self.living:
            if process.awake:
                for seat in self.actors[process].seats.values():
                    spent[seat.name] += seat.spendable_fraction()
        assert all(part <= 1.0 for part in spent.values()), spent


class Writers(Processes):
    """One protected object, written under a lease by whoever holds it."""

    def __init__(self) -> None:
        super().__init__()
        self.newest_fence = 0

    def actor_for(self, process: SteppedProcess) -> "Writer":
        return Writer(process)

    @invariant()
    def check(self) -> None:
        holding = [process for process in self.living if process.awake and self.held(process)]
        assert len(holding) <= 1, holding
        stored = self.world.store.get("protected", "move")
        if stored is not None:
            assert stored.value["fence"] >= self.newest_fence, "a former holder wrote"
            self.newest_fence = stored.value["fence"]

    def held(self, process: SteppedProcess) -> bool:
        return bool(self.actors[process].lease.held())


class Writer:
    """Renews its lease and then writes; every third time it gives the lease up."""

    def __init__(self, process: SteppedProcess) -> None:
        self._process = process
        self._steps = 0
        self.lease = Lease(
            platform=process.platform,
            clock=process.clock,
            name="move",
            own=process.holder,
            lease_s=LEASE_S,
        )

    async def step(self) -> None:
        self._steps += 1
        if self._steps % 3 == 0:
            await self.lease.give_up()
            return
        await self.lease.step()
        read = await self._process.platform.get(kind="protected", name="move")
        if read.is_ok():
            version = read.ok_value.version if read.ok_value else 0
            value = {"by": self._process.holder.incarnation, "step": self._steps}
            await self.lease.put(kind="protected", name="move", value=value, if_version=version)


QUICK = settings(
    max_examples=100,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class SeatsTest(unittest.TestCase):
    def test_no_seat_is_spent_twice(self) -> None:
        """Symptom: backend servers get more than a limit while the platform fails.

        Sequence: a holder freezes or is cut off, a successor takes its seat, the holder wakes or
        its delayed write lands. Cause: both would spend the whole seat. Hypothesis looks for any
        such sequence; the sum spendable of each seat never exceeds it.
        """
        run_state_machine_as_test(Seats, settings=QUICK)


class LeaseTest(unittest.TestCase):
    def test_only_the_holder_writes(self) -> None:
        """Symptom: two instances advance the same move.

        Sequence: the holder of the lease freezes between its check and its write, or its write is
        delayed; another takes the lease and writes; the first write lands. Cause: a lease alone
        does not stop what is already on its way.
        """
        run_state_machine_as_test(Writers, settings=QUICK)


if __name__ == "__main__":
    unittest.main()
