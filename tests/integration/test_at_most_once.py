"""At-most-once execution of keyed requests under faults, with processes of all components."""

from collections import Counter
from collections.abc import Sequence
from functools import partial

import trio

from tests.common.deployment_case import DeploymentCase
from tests.common.deployment_process import EntryProcess
from tests.common.fault_proxy import Address, FaultProxy
from tests.common.platform_process import fresh_address
from tests.common.raw_caller import Heard, Place, read_binding
from wagtailpoint.caller import Caller
from wagtailpoint.errors import RequestUnanswered
from wagtailpoint.verdict import Verdict

KEYS = 12
PROXY_PORT = 9100
in_thread = trio.to_thread.run_sync


class KeyedFaults(DeploymentCase):
    """Base of the tests: sends copies of many keys to one entry and to others."""

    BACKEND_OPTIONS = ("--service-ms", "150")

    async def send_all(
        self, place: Place, keys: Sequence[str], binding: str | None
    ) -> dict[str, Heard]:
        """Send one copy of each key concurrently; return the answers by key."""
        heard: dict[str, Heard] = {}

        async def send(key: str) -> None:
            heard[key] = await self.raw.release(place, key, binding)

        async with trio.open_nursery() as nursery:
            for key in keys:
                nursery.start_soon(send, key)
        return heard

    async def in_flight(self, entry: int, least: int) -> None:
        """Wait until at least ``least`` requests are in flight through an entry."""
        while True:
            page = await in_thread(self.running.entries[entry].page, "status")
            if page["requests"]["slots_held"] >= least:
                return
            await trio.sleep(0.01)


def count(heard: dict[str, Heard]) -> Counter[str]:
    """Return how often each verdict was received."""
    return Counter(answer.verdict.value for answer in heard.values())


class CutAnswerTest(KeyedFaults):
    def setUp(self) -> None:
        super().setUp()
        self.proxy_place = (fresh_address(), PROXY_PORT)

    def test_another_entry_gets_the_outcome_if_the_answer_was_cut(self) -> None:
        """Guards against a second run for a caller whose connection broke.

        The entry answers while the link to the caller is cut. The caller sends the same key and
        binding to two other entries, but only the bound entry knows that the key ran.
        """

        async def test() -> None:
            keys = [f"cut-{number}" for number in range(KEYS)]
            first, *others = [entry.place for entry in self.running.entries]
            binding = await read_binding(first)
            async with trio.open_nursery() as nursery:
                proxy = FaultProxy(listen=Address(*self.proxy_place), target=Address(*first))
                await nursery.start(proxy.serve)
                await proxy.drop_answers()
                cut = await self.send_all(self.proxy_place, keys, binding)
                nursery.cancel_scope.cancel()
            self.assertEqual({answer.status for answer in cut.values()}, {0})
            for place in others:
                repeated = await self.send_all(place, keys, binding)
                self.assertEqual(count(repeated), {"ran": KEYS})

        self.run_trio(test)

    def test_copy_at_another_entry_waits_for_the_first_copy_in_flight(self) -> None:
        """Guards against a needless ``may-have-run`` for a caller that retries early.

        While the copy at the bound entry is in flight, the caller sends another copy to another
        entry, which has to wait for the outcome instead of reporting it as unknown.
        """

        async def test() -> None:
            keys = [f"flight-{number}" for number in range(KEYS)]
            first, second, _ = [entry.place for entry in self.running.entries]
            binding = await read_binding(first)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.send_all, first, keys, binding)
                await self.in_flight(0, least=KEYS // 2)
                repeated = await self.send_all(second, keys, binding)
            self.assertEqual(count(repeated), {"ran": KEYS})

        self.run_trio(test)


class KilledEntryTest(KeyedFaults):
    def test_killed_entry_with_requests_in_flight_is_replaced(self) -> None:
        """Guards against a second run after an entry is killed.

        The entry has forwarded the requests and is killed before it answers. A new process takes
        its address, and the callers retry there and at another entry. No process remembers the
        keys, so none may run them.
        """

        async def test() -> None:
            keys = [f"killed-{number}" for number in range(KEYS)]
            entry, other = self.running.entries[:2]
            binding = await read_binding(entry.place)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.send_all, entry.place, keys, binding)
                await self.in_flight(0, least=KEYS // 2)
                await in_thread(entry.kill)
            elsewhere = await self.send_all(other.place, keys, binding)
            self.assertEqual(count(elsewhere), {"may-have-run": KEYS})
            await in_thread(self.replace, entry)
            replaced = await self.send_all(entry.place, keys, binding)
            self.assertEqual(count(replaced), {"may-have-run": KEYS})

        self.run_trio(test)

    def test_caller_that_cannot_connect_to_a_killed_entry_may_use_another(self) -> None:
        """Guards against ``may-have-run`` for a request that was never sent.

        The entry is killed; a caller that still holds its binding cannot connect, and binds the key
        to another entry. A refused connection proves that nothing was sent.
        """

        async def test() -> None:
            entry, other = self.running.entries[1:]
            binding = await read_binding(entry.place)
            await in_thread(entry.kill)
            refused = await self.raw.release(entry.place, "unreached", binding)
            self.assertEqual(refused.verdict, Verdict.NOT_RUN)
            fresh = await read_binding(other.place)
            answer = await self.raw.release(other.place, "unreached", fresh)
            self.assertEqual(answer.verdict, Verdict.RAN)
            await in_thread(self.replace, entry)

        self.run_trio(test)


class FrozenEntryTest(KeyedFaults):
    TIMINGS = {"epoch_s": 1.0}

    def test_stale_copies_are_refused_after_each_of_two_freezes(self) -> None:
        """Guards against running requests long after their callers gave up.

        Copies wait in the sockets of a frozen entry, and their callers give up. The entry resumes
        after its bindings have expired, and is frozen and resumed again. The waiting copies must
        not look new to a process that did not observe the time.
        """

        async def test() -> None:
            entry, other = self.running.entries[:2]
            for turn in range(2):
                keys = [f"frozen-{turn}-{number}" for number in range(KEYS)]
                binding = await read_binding(entry.place)
                entry.freeze()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.send_all, entry.place, keys, binding)
                    elsewhere = await self.send_all(other.place, keys, binding)
                    self.assertNotIn("ran", count(elsewhere))
                    await trio.sleep(3 * self.TIMINGS["epoch_s"])
                    entry.thaw()
                late = await self.send_all(entry.place, keys, binding)
                self.assertEqual(count(late), {"may-have-run": KEYS})
                self.assertEqual([self.count_runs(key) for key in keys], [0] * KEYS)

        self.run_trio(test)


class BackendFaultTest(KeyedFaults):
    BACKEND_OPTIONS = ("--service-ms", "20")

    def tearDown(self) -> None:
        self.set_backends()

    def test_reset_by_a_backend_server_after_the_run_is_not_retried(self) -> None:
        """Guards against a retry at another backend server that runs a request twice.

        The backend server runs the request and resets the connection; a reset does not show whether
        the request ran.
        """

        async def test() -> None:
            keys = [f"reset-{number}" for number in range(KEYS)]
            place = self.running.entries[0].place
            binding = await read_binding(place)
            await in_thread(partial(self.set_backends, reset_after=1.0))
            for _ in range(2):
                heard = await self.send_all(place, keys, binding)
                self.assertEqual(count(heard), {"may-have-run": KEYS})

        self.run_trio(test)

    def test_idle_connection_closed_while_a_request_is_sent(self) -> None:
        """Guards against ``may-have-run`` for requests that reached no backend server.

        The backend server closes idle connections after a short time while the entry sends the next
        request. The reset cannot be distinguished from one after a run.
        """

        async def test() -> None:
            place = self.running.entries[0].place
            await in_thread(partial(self.set_backends, idle_close_s=0.05))
            verdicts: Counter[str] = Counter()
            for turn in range(20):
                keys = [f"idle-{turn}-{number}" for number in range(6)]
                binding = await read_binding(place)
                verdicts += count(await self.send_all(place, keys, binding))
                await trio.sleep(0.03 + 0.002 * turn)
            self.assertGreater(verdicts["ran"], 100)

        self.run_trio(test)


class UnboundKeyTest(KeyedFaults):
    def tearDown(self) -> None:
        self.set_platform(down=False, lose_answers=0, slow_s=0.0)

    def set_platform(self, **modes: object) -> None:
        self.running.set_platform(**modes)

    def test_concurrent_copies_without_a_binding_run_once(self) -> None:
        """Guards against several runs for a caller that does not use bindings.

        Copies of the same key reach three entries at the same time, while answers of the platform
        are lost. Each entry could take the claim for its own.
        """

        async def test() -> None:
            keys = [f"unbound-{number}" for number in range(KEYS)]
            await in_thread(partial(self.set_platform, lose_answers=KEYS))
            async with trio.open_nursery() as nursery:
                for entry in self.running.entries:
                    nursery.start_soon(self.send_all, entry.place, keys, None)
            self.assertEqual([self.count_runs(key) for key in keys], [1] * KEYS)
            for entry in self.running.entries:
                repeated = await self.send_all(entry.place, keys, None)
                self.assertEqual(count(repeated), {"ran": KEYS})

        self.run_trio(test)

    def test_keys_without_a_binding_are_refused_while_the_platform_is_down(self) -> None:
        """Guards against running a key without a claim, and against a wait until the deadline.

        A key without a binding arrives while the platform is down. It must be refused ``not-run``
        and run once the platform is available again.
        """

        async def test() -> None:
            place = self.running.entries[0].place
            await in_thread(partial(self.set_platform, down=True))
            refused = await self.raw.release(place, "outage", None)
            self.assertEqual((refused.status, refused.verdict), (503, Verdict.NOT_RUN))
            bound = await self.raw.release(place, "outage-bound", await read_binding(place))
            self.assertEqual(bound.verdict, Verdict.RAN)
            await in_thread(partial(self.set_platform, down=False))
            answer = await self.raw.release(place, "outage", None)
            self.assertEqual(answer.verdict, Verdict.RAN)

        self.run_trio(test)

    def test_claim_stored_after_its_caller_was_refused(self) -> None:
        """Guards against two runs of a key whose claim is stored after its refusal ``not-run``.

        The platform is slow. The entry stops waiting for the claim at the deadline and refuses the
        key, but the claim is stored later. The caller sends the key to another entry and then again
        to the first one.
        """

        async def test() -> None:
            first, second = [entry.place for entry in self.running.entries[:2]]
            await in_thread(partial(self.set_platform, slow_s=0.8))
            refused = await self.raw.release(first, "slow-claim", None, deadline_s=0.4)
            self.assertEqual((refused.status, refused.verdict), (503, Verdict.NOT_RUN))
            await trio.sleep(1.0)
            await in_thread(partial(self.set_platform, slow_s=0.0))
            elsewhere = await self.raw.release(second, "slow-claim", None)
            self.assertIn(elsewhere.verdict, {Verdict.MAY_HAVE_RUN, Verdict.RAN})
            again = await self.raw.release(first, "slow-claim", None)
            self.assertEqual(again.verdict, Verdict.RAN)
            self.assertEqual(await in_thread(self.count_runs, "slow-claim"), 1)

        self.run_trio(test)

    def test_bound_entry_killed_while_the_platform_is_out(self) -> None:
        """Guards against a second run if neither the platform nor the bound entry can be asked.

        The platform is down, the entry is killed with keys in flight, and the keys are sent with
        their binding to another entry and to the replacement. An entry that cannot learn the
        outcome must not run a key.
        """

        async def test() -> None:
            keys = [f"both-{number}" for number in range(KEYS)]
            entry, other = self.running.entries[1:]
            await in_thread(partial(self.set_platform, down=True))
            binding = await read_binding(entry.place)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.send_all, entry.place, keys, binding)
                await self.in_flight(1, least=KEYS // 2)
                await in_thread(entry.kill)
            bound = await self.send_all(other.place, keys, binding)
            self.assertEqual(count(bound), {"may-have-run": KEYS})
            await in_thread(self.replace, entry)
            again = await self.send_all(entry.place, keys, binding)
            self.assertEqual(count(again), {"may-have-run": KEYS})

        self.run_trio(test)


class CallerLibraryTest(KeyedFaults):
    """Faults as seen by the caller library, which retries by itself."""

    async def release_all(self, prefix: str) -> dict[str, Verdict]:
        """Send many requests concurrently; return the verdicts, also of unanswered requests."""
        verdicts: dict[str, Verdict] = {}

        async def release(caller: Caller, key: str) -> None:
            try:
                answer = await caller.request(
                    "POST", f"/releases/{key}", body=b"{}", idempotency_key=key, deadline_s=6.0
                )
                verdicts[key] = answer.verdict
            except RequestUnanswered as unanswered:
                verdicts[key] = unanswered.verdict

        async with (
            self.running.caller("surakkha", address="10.16.0.9") as caller,
            trio.open_nursery() as nursery,
        ):
            for number in range(KEYS):
                nursery.start_soon(release, caller, f"{prefix}-{number}")
        heard = [Heard(f"/releases/{key}", 0, verdict) for key, verdict in verdicts.items()]
        self.raw.heard += heard
        return verdicts

    async def busy_entry(self) -> EntryProcess:
        """Return the entry with at least half of the requests in flight."""
        while True:
            for number, entry in enumerate(self.running.entries):
                page = await in_thread(entry.page, "status")
                if page["requests"]["slots_held"] >= KEYS // 2:
                    return self.running.entries[number]
            await trio.sleep(0.01)

    def test_requests_survive_a_short_freeze_of_their_entry(self) -> None:
        """Guards against unknown outcomes after each short freeze of an entry.

        An entry with requests in flight is frozen for 1.5 s. A caller that gives up too early and
        asks no entry again would leave the outcomes to be looked up by hand.
        """

        async def test() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.check_all_ran, "paused")
                entry = await self.busy_entry()
                entry.freeze()
                await trio.sleep(1.5)
                entry.thaw()

        self.run_trio(test)

    async def check_all_ran(self, prefix: str) -> None:
        verdicts = await self.release_all(prefix)
        self.assertEqual(set(verdicts.values()), {Verdict.RAN})

    def test_requests_sent_after_an_entry_was_killed_run(self) -> None:
        """Guards against ``may-have-run`` for requests that were never sent to a killed entry.

        An entry is killed with requests in flight; further requests follow while lookups still
        return it. Only the outcomes of the requests in flight are unknown.
        """

        async def test() -> None:
            entry = self.running.entries[0]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.release_all, "dying")
                entry = await self.busy_entry()
                await in_thread(entry.kill)
            await self.check_all_ran("after")
            await in_thread(self.replace, entry)

        self.run_trio(test)
