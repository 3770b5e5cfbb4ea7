"""Tests of admission control: class ceilings, queue limits, fairness and refusals."""

import unittest
from collections.abc import Sequence
from random import Random
from typing import Any

import trio
from result import Err, Ok
from trio.testing import MockClock

from tests.common.fake_clock import FakeClock, TrioClock
from wagtailpoint.admission.refusal import RefusalCode
from wagtailpoint.admission.retry_after import MIN_DELAY_S, MIN_SPREAD_S, RetryAfterPolicy
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
        """Take slots that must be free."""
        with trio.fail_after(0.0001):
            return [
                (await self.pool.acquire(demand(policy, **changes))).unwrap() for _ in range(count)
            ]

    async def measure_hold(self, policy: ClassPolicy) -> None:
        """Let the pool measure a hold time of ``HOLD_S`` for a class."""
        (slot,) = await self.take(policy, 1)
        await trio.sleep(HOLD_S)
        self.pool.release(slot)

    async def request(self, name: str, policy: ClassPolicy, **changes) -> None:
        """Request a slot in the background; its result is added to ``ended`` under ``name``."""

        async def acquire() -> None:
            self.ended.append((name, await self.pool.acquire(demand(policy, **changes))))

        self.nursery.start_soon(acquire)
        await trio.testing.wait_all_tasks_blocked()

    def names(self) -> list[str]:
        return [name for name, _ in self.ended]


class CeilingTest(AdmissionTest):
    def test_class_uses_idle_slots_up_to_its_ceiling(self) -> None:
        async def check() -> None:
            await self.take(BROCHURE, 4)
            await self.request("fifth", BROCHURE)
            self.assertEqual((self.pool.in_flight, self.pool.queued), (4, 1))

        self.use(check)

    def test_urgent_burst_finds_free_slots_while_other_classes_wait(self) -> None:
        """Guards against urgent requests that wait because other classes hold all slots.

        8 of 10 slots go to brochures, the only requests at the time, and the last 2 to browsing.
        Without ceilings, which keep some slots idle, a burst of urgent requests then waits for a
        download to end.
        """

        async def check() -> None:
            await self.take(BROCHURE, 4)
            await self.take(BROWSE, 4)
            await self.request("browse", BROWSE)
            await self.request("brochure", BROCHURE)
            await self.take(TONIGHT, 2)
            self.assertEqual(self.names(), [])

        self.use(check)

    def test_lower_class_counts_against_the_ceilings_above(self) -> None:
        """Guards against slots of the urgent class taken by a class below its own ceiling.

        Browsing holds 7 of its 8 slots, and 2 brochures arrive, whose ceiling is 4. If a request is
        checked against the ceiling of its own class only, one slot instead of two is left to the
        urgent class.
        """

        async def check() -> None:
            await self.take(BROWSE, 7)
            await self.take(BROCHURE, 1)
            await self.request("brochure", BROCHURE)
            self.assertEqual(self.pool.in_flight, 8)

        self.use(check)

    def test_ceiling_holds_in_the_nearest_tier(self) -> None:
        """Guards against urgent requests sent to another region because of less urgent ones.

        The near tier has 5 slots and the far tier 20. If the ceiling counts all tiers together,
        5 brochures, which use 20 % of all slots, fill the near tier.
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
            await self.request("second", BROCHURE, servers=choice)
            self.assertEqual(self.pool.in_flight, 1)

        self.use(check)


class OrderTest(AdmissionTest):
    def test_freed_slot_wakes_the_most_urgent_only(self) -> None:
        async def check() -> None:
            slots = await self.take(TONIGHT, 10)
            for name, policy in (("brochure", BROCHURE), ("first", TONIGHT), ("second", TONIGHT)):
                await self.request(name, policy)
            self.pool.release(slots[0])
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(self.names(), ["first"])

        self.use(check)

    def test_download_starts_while_browsing_requests_wait(self) -> None:
        """Guards against downloads that never start while browsing requests keep waiting.

        With strict priority only, each slot that browsing releases goes to browsing again, so every
        download is refused for as long as the load lasts.
        """

        async def check() -> None:
            slots = await self.take(BROWSE, 8)
            await self.request("browse", BROWSE)
            await self.request("brochure", BROCHURE)
            await self.request("second brochure", BROCHURE)
            for number in (0, 1):
                self.pool.release(slots[number])
                await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(self.names(), ["brochure", "browse"])

        self.use(check)

    def test_class_without_slots_does_not_overtake_the_most_urgent_class(self) -> None:
        async def check() -> None:
            slots = await self.take(TONIGHT, 10)
            await self.request("brochure", BROCHURE)
            await self.request("tonight", TONIGHT)
            self.pool.release(slots[0])
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(self.names(), ["tonight"])

        self.use(check)

    def test_flood_of_one_workspace_does_not_starve_another(self) -> None:
        """Guards against a request that waits for all earlier requests of another workspace.

        One workspace sends 50 requests at once, then another one sends a single request. In one
        first come, first served queue for the class it is answered after all fifty.
        """

        async def check() -> None:
            slots = await self.take(TONIGHT, 10, workspace="own")
            for number in range(50):
                await self.request(f"own {number}", TONIGHT, workspace="own")
            await self.request("inherited", TONIGHT, workspace="inherited")
            self.pool.release(slots[0])
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(self.names(), ["inherited"])

        self.use(check)

    def test_queue_filled_by_one_workspace_accepts_another(self) -> None:
        """Guards against a refusal because another workspace has filled the queue.

        One workspace fills the queue up to its limit before another one sends a request, which
        would be served next. If the limit ignores workspaces, that request is refused.
        """

        async def check() -> None:
            await self.take(TONIGHT, 10, workspace="own")
            for number in range(8):
                await self.request(f"own {number}", TONIGHT, workspace="own")
            await self.request("inherited", TONIGHT, workspace="inherited")
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
    def test_request_that_cannot_meet_its_deadline_is_refused_at_once(self) -> None:
        """Guards against callers that wait until their deadline to be refused.

        Fifty requests with 0.4 s left arrive at once. Ten slots with a hold time of 0.1 s serve 100
        requests per second, and twice 0.1 s is reserved for the answer, so 20 can wait. A queue
        limited by a fixed number only would accept all of them.
        """

        async def check() -> None:
            await self.measure_hold(TONIGHT)
            await self.take(TONIGHT, 10)
            for number in range(50):
                await self.request(f"{number}", TONIGHT, timeout_s=0.4)
            refused = [ended for _, ended in self.ended if isinstance(ended, Err)]
            self.assertEqual(len(refused), 50 - 20)
            refusal = refused[0].err_value
            self.assertEqual(
                (refusal.code, refusal.verdict), (RefusalCode.NO_SLOT, Verdict.NOT_RUN)
            )

        self.use(check)

    def test_stall_of_backend_servers_is_detected_before_any_request_ends(self) -> None:
        """Guards against callers that wait until their deadline while all backend servers stall.

        Earlier slots were released after 0.1 s, but none was for the last 3 s. An estimate from
        completed hold times only does not notice the stall.
        """

        async def check() -> None:
            await self.measure_hold(TONIGHT)
            await self.take(TONIGHT, 10)
            await trio.sleep(3.0)
            await self.request("after the stall", TONIGHT, timeout_s=1.0)
            self.assertEqual(self.names(), ["after the stall"])

        self.use(check)

    def test_queue_is_kept_short_in_a_lasting_overload(self) -> None:
        """Guards against answers that miss their deadlines in a lasting overload.

        More requests arrive than can be answered, for longer than any caller waits. If the queue
        stays as long as the deadlines allow, every answer comes close to its deadline; many are too
        late and have used a slot in vain.
        """

        async def check() -> None:
            await self.measure_hold(TONIGHT)
            slots = await self.take(TONIGHT, 10)
            for number in range(100):
                await self.request(f"{number}", TONIGHT, timeout_s=1.2)
            self.assertEqual(self.pool.queued, 100)
            for _ in range(60):
                await trio.sleep(HOLD_S / 10)
                self.pool.release(slots.pop(0))
                await trio.testing.wait_all_tasks_blocked()
                slots.append(self.ended[-1][1].unwrap())  # type: ignore[attr-defined]
            for number in range(100):
                await self.request(f"late {number}", TONIGHT, timeout_s=1.2)
            self.assertLess(self.pool.queued, 50)

        self.use(check, max_queued=1000)

    def test_urgent_arrivals_displace_requests_that_they_delay_too_long(self) -> None:
        """Guards against late refusals of requests that more urgent ones have overtaken.

        Brochures wait well within their deadline, and then 160 urgent searches arrive. If the wait
        is estimated on arrival only, the brochures are refused at their deadline, long after it was
        clear that they could not be answered.
        """

        async def check() -> None:
            await self.measure_hold(TONIGHT)
            await self.measure_hold(BROCHURE)
            await self.take(TONIGHT, 10)
            for number in range(3):
                await self.request(f"brochure {number}", BROCHURE, timeout_s=2.0)
            self.assertEqual(self.names(), [])
            for number in range(160):
                await self.request(f"tonight {number}", TONIGHT, timeout_s=5.0)
            self.assertEqual(set(self.names()), {f"brochure {number}" for number in range(3)})
            self.assertTrue(all(isinstance(ended, Err) for _, ended in self.ended))

        self.use(check, max_queued=1000)

    def test_full_queue_refuses_its_least_urgent_request(self) -> None:
        async def check() -> None:
            await self.take(TONIGHT, 10)
            for name, policy in (("brochure", BROCHURE), ("browse", BROWSE), ("tonight", TONIGHT)):
                await self.request(name, policy)
            self.assertEqual(self.names(), ["brochure"])
            await self.request("late brochure", BROCHURE)
            self.assertEqual(self.names(), ["brochure", "late brochure"])

        self.use(check, max_queued=2)

    def test_cancelled_waiting_request_is_removed(self) -> None:
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
    def test_workspace_limit_is_enforced_for_the_fraction_of_this_instance(self) -> None:
        async def check() -> None:
            wanted: dict[str, Any] = {"workspace": "own", "max_rps": 40.0, "timeout_s": 0.01}
            answers = []
            for _ in range(200):
                answers.append(await self.pool.acquire(demand(TONIGHT, **wanted)))
                if isinstance(answers[-1], Ok):
                    self.pool.release(answers[-1].ok_value)
                await trio.sleep(0.01)
            admitted = sum(isinstance(answer, Ok) for answer in answers)
            self.assertTrue(
                19 <= admitted <= 22, admitted
            )  # its fraction is 10 per second, for 2 s
            codes = {answer.err_value.code for answer in answers if isinstance(answer, Err)}
            self.assertEqual(codes, {RefusalCode.WORKSPACE_LIMIT})

        self.use(check, limit_fraction=lambda: 0.25)

    def test_retry_after_of_refused_callers_is_spread_in_an_overload(self) -> None:
        """Guards against refused callers that all retry in the same second.

        A thousand callers are refused in one second. With the same Retry-After in every refusal,
        they return together and are refused again.
        """
        times = RetryAfterPolicy(clock=FakeClock(), random=Random(1))
        few = max(times.next_retry_after_s() for _ in range(3))
        many = sorted(times.next_retry_after_s() for _ in range(1000))
        self.assertLess(few, MIN_DELAY_S + 4 * MIN_SPREAD_S)
        busiest = max(sum(second <= delay < second + 1 for delay in many) for second in range(60))
        self.assertLess(busiest, 100)
