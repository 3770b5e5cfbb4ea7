"""Verdicts are true: every answer is compared with the records of the backend servers."""

import random
from collections import Counter
from collections.abc import Sequence
from functools import partial
from itertools import cycle

import trio

from tests.common.deployment_case import DeploymentCase
from tests.common.raw_caller import read_binding
from wagtailpoint.verdict import Verdict

REQUESTS = 240
FLOOD_S = 0.6
"""Requests are spread over this time; at once, most would exceed the workspace's limit."""

in_thread = trio.to_thread.run_sync


class Overloaded(DeploymentCase):
    """Few slots and short queues, with more requests than both can hold."""

    BACKEND_OPTIONS: Sequence[str] = ("--service-ms", "60", "--queue-limit", "0")

    def setUp(self) -> None:
        super().setUp()
        self.random = random.Random(7)

    def tearDown(self) -> None:
        self.set_backends()

    async def flood(
        self, name: str, *, method: str, deadline_s: float, give_up_s: float | None = None
    ) -> Counter[tuple[str, str | None]]:
        """Send many requests to all entries; with ``give_up_s``, callers give up at a random time.

        Returns:
            The number of answers by verdict and code.
        """
        places = cycle(entry.place for entry in self.running.entries)
        prefix = "/certificates" if method == "GET" else "/releases"
        before = len(self.raw.heard)

        async def send(path: str, patience_s: float) -> None:
            with trio.move_on_after(patience_s):
                await self.raw.send(next(places), path, method=method, deadline_s=deadline_s)

        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS):
                patience_s = self.random.uniform(0, give_up_s) if give_up_s else 60.0
                nursery.start_soon(send, f"{prefix}/{name}-{number}", patience_s)
                await trio.sleep(FLOOD_S / REQUESTS)
        return Counter((heard.verdict.value, heard.code) for heard in self.raw.heard[before:])


class NotRunTest(Overloaded):
    def test_shed_by_the_backend_servers(self) -> None:
        """A request that was refused as ``not-run`` must not have run.

        Three entries fill the slots of the same backend servers, which shed the excess requests. An
        entry trusts a shed answer, so it must make sure that the answer belongs to this request.
        """

        async def test() -> None:
            await in_thread(partial(self.set_backends, slow=10.0))
            told = await self.flood("shed", method="POST", deadline_s=3.0)
            self.assertGreater(told["not-run", "no-slot"], 0, told)
            self.assertGreater(told["ran", None], 0, told)

        self.run_trio(test)

    def test_queued_at_the_entry_and_then_refused(self) -> None:
        """A request whose caller got a refusal from the entry's queue must not run.

        Slow requests take all slots; the others wait in the queues of the entries until their
        deadlines. The fault occurs if a slot is given to a request while it is being refused.
        """

        async def test() -> None:
            await in_thread(partial(self.set_backends, slow=20.0))
            told = await self.flood("queued", method="POST", deadline_s=0.6)
            refused = told["not-run", "no-slot"] + told["not-run", "deadline-too-short"]
            self.assertGreater(refused, 0, told)

        self.run_trio(test)

    def test_timed_out_at_a_backend_server_that_ignores_deadlines(self) -> None:
        """A timeout must not be reported as ``not-run`` while the request runs to completion.

        The backend servers are slow and ignore deadlines; the entries time out. A request that was
        sent may still run.
        """

        async def test() -> None:
            await in_thread(partial(self.set_backends, slow=20.0, deaf=True))
            told = await self.flood("late", method="POST", deadline_s=0.4)
            self.assertGreater(told["may-have-run", "deadline-passed"], 0, told)

        self.run_trio(test)

    def test_callers_that_give_up_at_any_moment(self) -> None:
        """After a cancelled request, its answer must not go to another caller.

        Callers close their connections while their requests wait, are sent or run; other requests
        follow at once. The fault occurs if a connection returns to its pool with an answer pending.
        """

        async def test() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    partial(self.flood, "gone", method="POST", deadline_s=2.0, give_up_s=0.5)
                )
                nursery.start_soon(partial(self.flood, "stay", method="POST", deadline_s=2.0))

        self.run_trio(test)


class DrainingTest(Overloaded):
    def test_backend_servers_that_drain_under_load(self) -> None:
        """A request that a draining backend server refused must not have run there.

        All backend servers start to drain while requests are in transit to them, and recover. A
        refusal is only valid if it contains the id of the refused request.
        """

        async def test() -> None:
            told: Counter[tuple[str, str | None]] = Counter()
            async with trio.open_nursery() as nursery:

                async def flood() -> None:
                    told.update(await self.flood("drain", method="POST", deadline_s=2.0))

                nursery.start_soon(flood)
                await trio.sleep(0.1)
                await in_thread(partial(self.set_backends, draining=True))
            self.assertGreater(
                sum(n for (said, _), n in told.items() if said == "not-run"), 0, told
            )

        self.run_trio(test)


class IdempotentNotRunTest(Overloaded):
    AT_MOST_ONCE = False

    def test_retried_requests_that_are_refused_in_the_end(self) -> None:
        """A request whose first attempt ran must not be ``not-run`` because the last was shed.

        An attempt is reset after it ran, and the retry is shed. The fault occurs if the verdict of
        the last attempt is used as the verdict of the request.
        """

        async def test() -> None:
            await in_thread(partial(self.set_backends, reset_after=0.5, slow=10.0))
            told = await self.flood("retried", method="GET", deadline_s=1.0)
            self.assertGreater(
                sum(n for (said, _), n in told.items() if said == "not-run"), 0, told
            )
            self.assertGreater(
                sum(n for (said, _), n in told.items() if said == "may-have-run"), 0, told
            )

        self.run_trio(test)


class StoppingEntryTest(Overloaded):
    BACKEND_OPTIONS = ("--service-ms", "60")

    def test_entry_that_stops_while_requests_arrive(self) -> None:
        """A request that a stopping entry refused must not run there after a retry elsewhere.

        The entry is told to stop while keyed requests continue to arrive until it has exited; each
        refused request is sent to another entry. The fault occurs if the refusal of one copy of a
        key does not prevent later copies from running.
        """

        async def test() -> None:
            entry, other = self.running.entries[:2]
            binding = await read_binding(entry.place)
            told: Counter[str] = Counter()
            entry.terminate()

            async def release(key: str) -> None:
                heard = await self.raw.release(entry.place, key, binding)
                told[heard.code or heard.verdict.value] += 1
                if heard.verdict is Verdict.NOT_RUN:
                    fresh = await read_binding(other.place)
                    again = await self.raw.release(other.place, key, fresh)
                    self.assertEqual(again.verdict, Verdict.RAN, again)

            number = 0
            async with trio.open_nursery() as nursery:
                while entry.exit_code is None:
                    number += 1
                    nursery.start_soon(release, f"stop-{number}")
                    await trio.sleep(0.02)
            self.assertEqual(entry.exit_code, 0)
            self.assertGreater(told["ran"], 0, told)
            self.assertEqual(told["may-have-run"], 0, told)

        self.run_trio(test)
        self.replace(self.running.entries[0])


class EverythingAtOnceTest(Overloaded):
    BACKEND_OPTIONS = ("--service-ms", "60", "--queue-limit", "2")

    def test_faults_of_all_kinds_together(self) -> None:
        """Faults that are harmless alone must not make a refusal false in combination.

        Backend servers reset connections before and after running, answer 503 without a verdict,
        cross and truncate answers, and shed; the platform is down; one entry is killed and another
        paused. The fault occurs if the handling of one fault assumes that everything else works.
        """

        async def test() -> None:
            killed, paused = self.running.entries[:2]
            faults = dict.fromkeys(
                ("reset_after", "reset_before", "bare_503", "cross", "short_body"), 0.1
            )
            await in_thread(partial(self.set_backends, **faults))
            await in_thread(partial(self.running.set_platform, down=True))
            binding = await read_binding(paused.place)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(partial(self.flood, "all", method="POST", deadline_s=3.0))
                for number in range(40):
                    key = f"all-keyed-{number}"
                    nursery.start_soon(self.raw.release, paused.place, key, binding)
                await trio.sleep(0.2)
                paused.freeze()
                await in_thread(killed.kill)
                for number in range(5):
                    nursery.start_soon(self.raw.send, killed.place, f"/releases/dead-{number}")
                await trio.sleep(1.0)
                paused.thaw()
                for number in range(40):
                    key = f"all-keyed-{number}"
                    nursery.start_soon(
                        self.raw.release, self.running.entries[2].place, key, binding
                    )
            told = Counter(heard.verdict.value for heard in self.raw.heard)
            self.assertEqual(set(told), {"ran", "not-run", "may-have-run"}, told)

        self.run_trio(test)
        self.running.set_platform(down=False)
