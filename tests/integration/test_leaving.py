"""Who leaves: backend servers get no new work, entries vanish and cut nothing."""

import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import cycle
from typing import Any, ClassVar
from unittest.mock import patch

import trio

from tests.common.backend_standin import bulk_bytes
from tests.common.deployment_case import DeploymentCase
from tests.common.deployment_process import EntryProcess
from tests.common.raw_caller import Heard
from tests.common.verdict_check import count_executions
from wagtailpoint.caller import Caller, EntryAddress
from wagtailpoint.caller.entries import LOOKUP_PATH
from wagtailpoint.caller.exchange import Broken, Exchanges, OpenReply, Outgoing, Reply
from wagtailpoint.errors import WagtailpointError
from wagtailpoint.verdict import Verdict

PERIOD_S = 1 / 60
LEAVE_WITHIN_S = 3.0
WATCHED_S = 2.0
BALANCE_TIMEOUT_MS = 5000
BULK_BYTES = 600_000
BULK_MS = 7000
CLIENTS = ("10.16.0.9", "10.24.0.9", "10.32.0.9", "10.17.3.4", "10.33.5.6", "10.16.8.8")
BURST = 250
"""Requests at once: more than the slots of all backend servers nearer than the farthest ones."""
in_thread = trio.to_thread.run_sync


def count_of(record: dict[str, Any], name: str) -> int:
    """How many requests with this name in their path arrived at a backend server."""
    return sum(name in arrival["path"] for arrival in record["arrivals"])


class LeavingServersTest(DeploymentCase):
    AT_MOST_ONCE = False

    def tearDown(self) -> None:
        self.set_backends()
        self.running.set_platform(down=False)

    def test_backend_server_that_refuses_new_work(self) -> None:
        """Symptom: a server that shuts down goes on getting requests, which it sheds.

        Sequence: the platform is out; one backend server answers that it drains, while its report
        still says that it does not. Cause: nobody declared a drain, and reports lag, so the entries
        must take the answers' word.
        """
        self.check_leaves("refuses", {"draining": True, "report": {"draining": False}})

    def test_backend_server_whose_report_alone_says_so(self) -> None:
        """Symptom: a server that wants to leave is kept busy, because it is too polite to refuse.

        Sequence: the platform is out; one backend server reports that it drains, and still serves
        what it is sent. Cause: no request of an entry's own ever fails there.
        """
        self.check_leaves("reports", {"report": {"draining": True}})

    def test_entry_that_never_sent_it_anything_learns_it_from_its_peers(self) -> None:
        """Symptom: a server that shuts down gets a request after all, seconds later.

        Sequence: the platform is out; one backend server refuses the requests of one entry, because
        it drains, while its report still says that it does not. An entry in another region, which
        had sent it nothing so far, has more requests than nearer servers take. Cause: a refusal was
        known only to the entry that got it.
        """
        backends = self.running.backends["deposit-desk"]
        near, far = self.running.entries[0], self.running.entries[-1]

        async def test() -> None:
            await self.send_one_by_one("near-before", near, 1.0)
            await in_thread(partial(self.running.set_platform, down=True))
            records = await in_thread(backends.records)
            busiest = max(records, key=lambda server: count_of(records[server], "near-before"))
            mode = {"draining": True, "report": {"draining": False}}
            await in_thread(backends.control, busiest, "POST", "mode", mode)
            await self.send_one_by_one("near-after", near, LEAVE_WITHIN_S)
            records = await in_thread(backends.records)
            self.assertGreater(count_of(records[busiest], "near-after"), 0)
            async with trio.open_nursery() as nursery:
                for number in range(BURST):
                    path = f"/deposits/balance/far-{number}"
                    nursery.start_soon(partial(self.raw.send, far.place, path, method="GET"))
            arrivals = await in_thread(backends.records)
            reached = {server for server in arrivals if count_of(arrivals[server], "/far-")}
            # Without a burst that reaches the other regions, nothing is tested.
            self.assertGreater(len(reached), len(arrivals) / 2)
            self.assertNotIn(busiest, reached)

        self.run_trio(test)

    async def send_one_by_one(self, name: str, entry: EntryProcess, duration_s: float) -> None:
        """Balance checks at one entry, each after the one before."""
        until = trio.current_time() + duration_s
        number = 0
        while trio.current_time() < until:
            number += 1
            await self.raw.send(entry.place, f"/deposits/balance/{name}-{number}", method="GET")

    def check_leaves(self, name: str, mode: dict[str, object]) -> None:
        backends = self.running.backends["deposit-desk"]

        async def test() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.send_for, name, LEAVE_WITHIN_S + WATCHED_S + 1.0)
                await trio.sleep(0.5)
                await in_thread(partial(self.running.set_platform, down=True))
                records = await in_thread(backends.records)
                busiest = max(records, key=lambda server: len(records[server]["arrivals"]))
                await in_thread(backends.control, busiest, "POST", "mode", mode)
                ordered = time.monotonic()
            arrivals = (await in_thread(backends.records))[busiest]["arrivals"]
            self.assertGreater(len([a for a in arrivals if a["time"] < ordered]), 0)
            late = [a for a in arrivals if a["time"] > ordered + LEAVE_WITHIN_S]
            self.assertEqual(late, [])

        self.run_trio(test)

    async def send_for(self, name: str, duration_s: float) -> None:
        """Balance checks at all entries."""
        until = trio.current_time() + duration_s
        places = cycle(entry.place for entry in self.running.entries)
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                number += 1
                path = f"/deposits/balance/{name}-{number}"
                nursery.start_soon(partial(self.raw.send, next(places), path, method="GET"))
                await trio.sleep(PERIOD_S)


class LeavingEntryTest(DeploymentCase):
    def test_entry_vanishes_from_lookups_and_still_serves_those_who_know_it(self) -> None:
        """Symptom: at each planned stop some callers are refused.

        Sequence: an entry is told to stop; lookups no longer name it, but callers have answers in
        their caches until those expire. Cause: an entry that refuses at once refuses them.
        """

        async def test() -> None:
            leaving, *others = self.running.entries
            served: list[Heard] = []
            entries = await in_thread(self.looked_up, others[0])
            self.assertIn(leaving.settings.address, entries)
            leaving.terminate()
            told = trio.current_time()
            await in_thread(
                self.wait_until,
                lambda: leaving.settings.address not in self.looked_up(others[0]),
            )
            self.assertNotIn(leaving.settings.address, await in_thread(self.looked_up, leaving))
            gone = trio.current_time()
            self.assertLess(gone - told, LEAVE_WITHIN_S)
            while trio.current_time() < gone + leaving.settings.timings.lookup_ttl_s:
                path = f"/releases/cached-{len(served)}"
                served.append(await self.raw.send(leaving.place, path))
            self.assertEqual({heard.verdict for heard in served}, {Verdict.RAN})
            self.assertEqual(await in_thread(leaving.wait), 0)

        self.run_trio(test)

    def looked_up(self, entry: EntryProcess) -> list[str]:
        """The addresses that an entry names to callers."""
        page = entry.page(f"lookup?workspace=surakkha&address={CLIENTS[0]}")
        return [each["address"] for each in page["entries"]]


class CountingExchanges(Exchanges):
    """Notes each exchange that was cut after it began: the caller library would repeat it."""

    cut: ClassVar[list[str]] = []

    async def open(
        self, entry: EntryAddress, outgoing: Outgoing, **times: Any
    ) -> OpenReply | Reply | Broken:
        result = await super().open(entry, outgoing, **times)
        # A caller that was busy with a download for longer than its lookup's TTL asks the entry
        # that it knew for the next one; that may be gone, and another is asked.
        is_lookup = outgoing.target.startswith(LOOKUP_PATH)
        if isinstance(result, Broken) and result.sent and not is_lookup:
            self.cut.append(f"{outgoing.method} {outgoing.target} at {entry}: {result.reason}")
        return result


class RollingReplacementTest(DeploymentCase):
    ENTRIES = 9
    TIMINGS = {"lookup_ttl_s": 0.3}

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        # A stand-in on a busy machine may get no processor time for the second of the example.
        patience = ("--set", f"balance_timeout_ms={BALANCE_TIMEOUT_MS}")
        adjusted = cls.running.cli("workspace", "adjust", "surakkha", *patience, "--wait")
        if adjusted.returncode != 0:
            raise RuntimeError(f"adjust: {adjusted.stdout}{adjusted.stderr}")

    def test_all_entries_replaced_one_after_the_other_under_load(self) -> None:
        """Symptom: the weekly replacement of the instances cuts downloads and loses releases.

        Sequence: each of the nine entries is told to stop, waited for, and started again, while
        callers check balances, release deposits and download. Cause: callers and downloads that
        know an instance outlive its place in the lookups.
        """

        async def test() -> None:
            done: Counter[str] = Counter()
            bad: list[str] = []
            stop = trio.Event()
            async with trio.open_nursery() as nursery:
                for number, address in enumerate(CLIENTS):
                    load = partial(self.load, number, address, done, bad, stop)
                    nursery.start_soon(load)
                for address in CLIENTS[:3]:
                    nursery.start_soon(self.downloads, address, done, bad, stop)
                exits = [await in_thread(self.stop_and_replace, e) for e in self.running.entries]
                stop.set()
            self.assertEqual(exits, [0] * self.ENTRIES)
            self.assertEqual(bad, [])
            self.assertGreater(done["download"], 3)
            self.assertEqual(CountingExchanges.cut, [])
            executions = count_executions(self.records())
            releases = [ran for path, ran in executions.items() if path.startswith("/releases")]
            self.assertEqual(set(releases), {1})
            cuts = [
                e.log.count("reply-cut") + e.log.count("stop-cuts") for e in self.running.entries
            ]
            self.assertEqual(sum(cuts), 0)

        CountingExchanges.cut.clear()
        with patch("wagtailpoint.caller.caller.Exchanges", CountingExchanges):
            self.run_trio(test)

    def stop_and_replace(self, entry: EntryProcess) -> int:
        code = entry.stop()
        self.replace(entry)
        return code

    async def load(
        self, number: int, address: str, done: Counter[str], bad: list[str], stop: trio.Event
    ) -> None:
        """One caller's requests, 10 a second, each third one keyed."""
        async with self.running.caller("surakkha", address=address) as caller:
            turn = 0
            while not stop.is_set():
                turn += 1
                name = f"roll-{number}-{turn}"
                if turn % 3:
                    send = partial(caller.request, "GET", f"/deposits/balance/{name}")
                else:
                    send = partial(
                        caller.request,
                        "POST",
                        f"/releases/{name}",
                        body=b"{}",
                        idempotency_key=name,
                    )
                await self.note(name, partial(send, deadline_s=5.0), done, bad)
                await trio.sleep(len(CLIENTS) * PERIOD_S)

    async def note(
        self, name: str, send: Callable[..., object], done: Counter[str], bad: list[str]
    ) -> None:
        try:
            answer = await send()  # type: ignore[misc]
        except WagtailpointError as error:
            bad.append(f"{name}: {error}")
            return
        if (answer.status, answer.verdict) != (200, Verdict.RAN):
            bad.append(f"{name}: {answer.status} {answer.verdict} {answer.body!r}")
        done["request"] += 1

    async def downloads(
        self, address: str, done: Counter[str], bad: list[str], stop: trio.Event
    ) -> None:
        """One slow download after the other."""
        path = f"/certificates/bulk/{BULK_BYTES}?ms={BULK_MS}"
        async with self.running.caller("surakkha", address=address) as caller:
            while not stop.is_set():
                await self.download(caller, path, done, bad)

    async def download(self, caller: Caller, path: str, done: Counter[str], bad: list[str]) -> None:
        try:
            async with caller.stream("GET", path, deadline_s=10.0) as download:
                began_at = download.entry
                body = b"".join([chunk async for chunk in download.chunks()])
        except WagtailpointError as error:
            bad.append(f"download: {error}")
            return
        if body != bulk_bytes(0, BULK_BYTES):
            bad.append(f"download of {len(body)} bytes, not {BULK_BYTES}")
        if download.entry != began_at:
            bad.append(f"download begun at {began_at} went on at {download.entry}")
        done["download"] += 1
