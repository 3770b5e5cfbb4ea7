"""Admission: classes with ceilings, the queue's bound, fairness, refusals."""

import unittest
from collections.abc import Sequence
from random import Random
from typing import Any

import trio
from result import Err, Ok
from trio.testing import MockClock

from tests.common.fake_clock import FakeClock, TrioClock
from wagtailpoint.admission.refusal import RefusalCode
from wagtailpoint.admission.return_times import LEAST_S, LEAST_SPREAD_S, ReturnTimes
from wagtailpoint.admission.slots import Slot, SlotDemand, SlotPool
from wagtailpoint.config.model import BackendServer, ClassPolicy
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.verdict import Verdict

TONIGHT = ClassPolicy("tonight", 0, 1.0)
BROWSE = ClassPolicy("browse", 1, 0.8)
BROCHURE = ClassPolicy("brochure", 2, 0.4)
CLASSES = (TONIGHT, BROWSE, BROCHURE)
HOLD_S = 0.1


def make_server(number: int, domain: str = "near-a", slots: int = 5) -> BackendServer:
    return BackendServer(BackendAddress(f"127.0.0.{number}", 9000), domain, slots)


class FixedChoice:
    def __init__(self, tiers: Sequence[Sequence[BackendServer]]) -> None:
        self._tier = {server: tier for tier, servers in enumerate(tiers) for server in servers}

    def candidates(self) -> Sequence[BackendServer]:
        return list(self._tier)

    def tier_of(self, server: BackendServer) -> int:
        return self._tier[server]

    def record_taken(self, server: BackendServer) -> None:
        pass


TEN_SLOTS = FixedChoice([[make_server(1), make_server(2)]])


def demand(policy: ClassPolicy, *, timeout_s: float = 10.0, **changes) -> SlotDemand:
    wanted = SlotDemand("desk/main", TEN_SLOTS, policy, trio.current_time() + timeout_s)
    return wanted._replace(classes=CLASSES, **changes)


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ended: list[tuple[str, object]] = []

    def use(self, test, *, max_queued: int = 100, **options) -> None:
        async def run() -> None:
            self.pool = SlotPool(
                clock=TrioClock(), max_queued=max_queued, random=Random(1), **options
            )
            async with trio.open_nursery() as self.nursery:
                await test()
                self.nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0.0))

    async def take(self, policy: ClassPolicy, count: int, **changes) -> list[Slot]:
        """Take slots that are free."""
        with trio.fail_after(0.0001):
            return [
                (await self.pool.acquire(demand(policy, **changes))).unwrap() for _ in range(count)
            ]

    async def learn(self, policy: ClassPolicy) -> None:
        """Show the pool how long a class holds its slots."""
        (slot,) = await self.take(policy, 1)
        await trio.sleep(HOLD_S)
        self.pool.release(slot)

    async def ask(self, name: str, policy: ClassPolicy, **changes) -> None:
        """Ask in the background; what became of it is added to ``ended`` under its name."""

        async def acquire() -> None:
            self.ended.append((name, await self.pool.acquire(demand(policy, **changes))))

        self.nursery.start_soon(acquire)
        await trio.testing.wait_all_tasks_blocked()

    def names(self) -> list[str]:
        return [name for name, _ in self.ended]


class CeilingTest(AdmissionTest):
    def test_brochures_alone_reach_their_ceiling_and_no_more(self) -> None:
        async def check() -> None:
            await self.take(BROCHURE, 4)
            await self.ask("fifth", BROCHURE)
            self.assertEqual((self.pool.in_flight, self.pool.queued), (4, 1))

        self.use(check)

    def test_urgent_burst_finds_room_while_all_others_press(self) -> None:
        """A ferry is cancelled while brochures and browsing have taken all that they could get.

        Symptom: the first tonight-searches wait for a download to end. Sequence: 8 brochures take
        slots, being the only ones there; then browsing takes the last 2. Cause: idle slots are
        lent out to the last one.
        """

        async def check() -> None:
            await self.take(BROCHURE, 4)
            await self.take(BROWSE, 4)
            await self.ask("browse", BROWSE)
            await self.ask("brochure", BROCHURE)
            await self.take(TONIGHT, 2)
            self.assertEqual(self.names(), [])

        self.use(check)

    def test_lower_class_counts_against_the_ceilings_above(self) -> None:
        """Browsing holds 7 of its 8 slots, and 2 brochures come, far below their own ceiling of 4.

        Symptom: only one slot is left to the urgent class instead of two. Cause: a request is
        checked against the ceiling of its own class only.
        """

        async def check() -> None:
            await self.take(BROWSE, 7)
            await self.take(BROCHURE, 1)
            await self.ask("brochure", BROCHURE)
            self.assertEqual(self.pool.in_flight, 8)

        self.use(check)

    def test_ceiling_holds_in_the_nearest_tier(self) -> None:
        """Near are 5 slots, far are 20: below the ceiling of all slots, brochures fill the near.

        Symptom: an urgent search goes to another region although its own is full of brochures
        only. Sequence: 5 brochures take the 5 near slots, 20 % of all. Cause: the ceiling counts
        all tiers as one.
        """
        near, far = make_server(1), [make_server(number, "far-a") for number in range(2, 6)]
        choice = FixedChoice([[near], far])

        async def check() -> None:
            taken = await self.take(BROCHURE, 6, servers=choice)
            self.assertEqual(sum(slot.server == near for slot in taken), 2)
            (urgent,) = await self.take(TONIGHT, 1, servers=choice)
            self.assertEqual(urgent.server, near)

        self.use(check)

    def test_class_is_served_although_its_ceiling_is_below_one_slot(self) -> None:
        choice = FixedChoice([[make_server(1, slots=2)]])

        async def check() -> None:
            await self.take(BROCHURE, 1, servers=choice)
            await self.ask("second", BROCHURE, servers=choice)
            self.assertEqual(self.pool.in_flight, 1)

        self.use(check)


class OrderTest(AdmissionTest):
    def test_freed_slot_wakes_the_most_urgent_only(self) -> None:
        async def check() -> None:
            slots = await self.take(TONIGHT, 10)
            for name, policy in (("brochure", BROCHURE), ("first", TONIGHT), ("second", TONIGHT)):
                await self.ask(name, policy)
            self.pool.release(slots[0])
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(self.names(), ["first"])

        self.use(check)

    def test_download_begins_while_browsing_presses(self) -> None:
        """Browsing keeps its queue full for hours; an agent waits for the download of a file.

        Symptom: every attempt to begin the download is refused until the day is over. Sequence:
        each slot that browsing gives back goes to browsing again. Cause: strict order of classes.
        """

        async def check() -> None:
            slots = await self.take(BROWSE, 8)
            await self.ask("browse", BROWSE)
            await self.ask("brochure", BROCHURE)
            await self.ask("second brochure", BROCHURE)
            for number in (0, 1):
                self.pool.release(slots[number])
                await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(self.names(), ["brochure", "browse"])

        self.use(check)

    def test_download_never_goes_before_the_most_urgent_class(self) -> None:
        async def check() -> None:
            slots = await self.take(TONIGHT, 10)
            await self.ask("brochure", BROCHURE)
            await self.ask("tonight", TONIGHT)
            self.pool.release(slots[0])
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(self.names(), ["tonight"])

        self.use(check)

    def test_flood_of_one_workspace_does_not_starve_another(self) -> None:
        """The own workspace sends 50 checks at once, an inherited one then sends a single one.

        Symptom: the inherited workspace's check is answered after all fifty. Cause: one queue for
        a class, first come first served.
        """

        async def check() -> None:
            slots = await self.take(TONIGHT, 10, workspace="own")
            for number in range(50):
                await self.ask(f"own {number}", TONIGHT, workspace="own")
            await self.ask("inherited", TONIGHT, workspace="inherited")
            self.pool.release(slots[0])
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(self.names(), ["inherited"])

        self.use(check)

    def test_full_queue_of_one_workspace_makes_room_for_another(self) -> None:
        """As above, but the flood has filled the queue before the inherited check comes.

        Symptom: the inherited check is refused with a full queue although it would be next.
        Sequence: the queue's whole bound is taken by one workspace. Cause: the bound is shared
        without regard to workspaces.
        """

        async def check() -> None:
            await self.take(TONIGHT, 10, workspace="own")
            for number in range(8):
                await self.ask(f"own {number}", TONIGHT, workspace="own")
            await self.ask("inherited", TONIGHT, workspace="inherited")
            self.assertEqual(self.names(), ["own 7"])

        self.use(check, max_queued=8)

    def test_retry_goes_to_another_failure_domain_first(self) -> None:
        first, same, other = make_server(1), make_server(2), make_server(3, "near-b")
        choice = FixedChoice([[first, same, other]])

        async def check() -> None:
            avoided = [(await self.take(TONIGHT, 1, servers=choice))[0].server]
            retried = await self.take(TONIGHT, 1, servers=choice, avoid=avoided)
            self.assertEqual(retried[0].server, other)

        self.use(check)


class QueueBoundTest(AdmissionTest):
    def test_what_cannot_be_answered_is_refused_at_once(self) -> None:
        """Ten slots, 0.1 s each: 100 a second. Of 0.4 s, twice 0.1 s is kept for the answer itself.

        Symptom: callers wait to their deadline to be told that there was no slot. Sequence: fifty
        requests with 0.4 s left arrive at once. Cause: the queue is bounded by a fixed number.
        """

        async def check() -> None:
            await self.learn(TONIGHT)
            await self.take(TONIGHT, 10)
            for number in range(50):
                await self.ask(f"{number}", TONIGHT, timeout_s=0.4)
            refused = [ended for _, ended in self.ended if isinstance(ended, Err)]
            self.assertEqual(len(refused), 50 - 20)
            refusal = refused[0].err_value
            self.assertEqual(
                (refusal.code, refusal.verdict), (RefusalCode.NO_SLOT, Verdict.NOT_RUN)
            )

        self.use(check)

    def test_stalled_backend_servers_are_seen_before_anything_ends(self) -> None:
        """All backend servers stall: what they hold does not end, and callers go on arriving.

        Symptom: each caller waits to its deadline. Sequence: the last slots were given back in
        0.1 s; since then none was, for three seconds. Cause: the estimate learns from ends only.
        """

        async def check() -> None:
            await self.learn(TONIGHT)
            await self.take(TONIGHT, 10)
            await trio.sleep(3.0)
            await self.ask("after the stall", TONIGHT, timeout_s=1.0)
            self.assertEqual(self.names(), ["after the stall"])

        self.use(check)

    def test_standing_queue_is_kept_short(self) -> None:
        """More arrives than can be answered, for longer than any caller waits.

        Symptom: every answer comes at the edge of its deadline, and many miss it with their slot
        used up for nothing. Sequence: the queue stays as long as deadlines allow, and each place
        that becomes free is taken at once. Cause: a long queue helps in a burst only.
        """

        async def check() -> None:
            await self.learn(TONIGHT)
            slots = await self.take(TONIGHT, 10)
            for number in range(100):
                await self.ask(f"{number}", TONIGHT, timeout_s=1.2)
            self.assertEqual(self.pool.queued, 100)
            for _ in range(60):
                await trio.sleep(HOLD_S / 10)
                self.pool.release(slots.pop(0))
                await trio.testing.wait_all_tasks_blocked()
                slots.append(self.ended[-1][1].unwrap())  # type: ignore[attr-defined]
            for number in range(100):
                await self.ask(f"late {number}", TONIGHT, timeout_s=1.2)
            self.assertLess(self.pool.queued, 50)

        self.use(check, max_queued=1000)

    def test_urgent_arrivals_push_out_what_they_make_late(self) -> None:
        """Brochures wait, well within their deadline, and then forty urgent searches arrive.

        Symptom: the brochures' callers are told at their deadline, long after it was plain that
        they could not be answered. Cause: a wait is estimated at arrival only.
        """

        async def check() -> None:
            await self.learn(TONIGHT)
            await self.learn(BROCHURE)
            await self.take(TONIGHT, 10)
            for number in range(3):
                await self.ask(f"brochure {number}", BROCHURE, timeout_s=2.0)
            self.assertEqual(self.names(), [])
            for number in range(160):
                await self.ask(f"tonight {number}", TONIGHT, timeout_s=5.0)
            self.assertEqual(set(self.names()), {f"brochure {number}" for number in range(3)})
            self.assertTrue(all(isinstance(ended, Err) for _, ended in self.ended))

        self.use(check, max_queued=1000)

    def test_full_queue_gives_up_its_least_urgent(self) -> None:
        async def check() -> None:
            await self.take(TONIGHT, 10)
            for name, policy in (("brochure", BROCHURE), ("browse", BROWSE), ("tonight", TONIGHT)):
                await self.ask(name, policy)
            self.assertEqual(self.names(), ["brochure"])
            await self.ask("late brochure", BROCHURE)
            self.assertEqual(self.names(), ["brochure", "late brochure"])

        self.use(check, max_queued=2)

    def test_cancelled_waiting_request_leaves_nothing_behind(self) -> None:
        async def check() -> None:
            slots = await self.take(TONIGHT, 10)
            with trio.move_on_after(0.01):
                await self.pool.acquire(demand(TONIGHT))
            self.assertEqual(self.pool.queued, 0)
            for slot in slots:
                self.pool.release(slot)
            self.assertEqual(self.pool.in_flight, 0)

        self.use(check)


class RefusalTest(AdmissionTest):
    def test_workspace_limit_refuses_what_exceeds_its_part(self) -> None:
        async def check() -> None:
            wanted: dict[str, Any] = {"workspace": "own", "max_rps": 40.0, "timeout_s": 0.01}
            answers = []
            for _ in range(200):
                answers.append(await self.pool.acquire(demand(TONIGHT, **wanted)))
                if isinstance(answers[-1], Ok):
                    self.pool.release(answers[-1].ok_value)
                await trio.sleep(0.01)
            admitted = sum(isinstance(answer, Ok) for answer in answers)
            self.assertTrue(19 <= admitted <= 22, admitted)  # 10 a second of its part, for 2 s
            codes = {answer.err_value.code for answer in answers if isinstance(answer, Err)}
            self.assertEqual(codes, {RefusalCode.WORKSPACE_LIMIT})

        self.use(check, limit_fraction=lambda: 0.25)

    def test_return_of_refused_callers_is_spread_by_the_overload(self) -> None:
        """A thousand callers are refused in one second and told to come back.

        Symptom: they come back in one and the same second and are refused again, over and over.
        Cause: every refusal carries the same Retry-After.
        """
        times = ReturnTimes(clock=FakeClock(), random=Random(1))
        few = max(times.next_s() for _ in range(3))
        many = sorted(times.next_s() for _ in range(1000))
        self.assertLess(few, LEAST_S + 4 * LEAST_SPREAD_S)
        busiest = max(sum(second <= each < second + 1 for each in many) for second in range(60))
        self.assertLess(busiest, 100)
