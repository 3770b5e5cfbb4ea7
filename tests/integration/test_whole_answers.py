"""A caller gets the whole answer to its own request, or sees that it is broken."""

from functools import partial

import trio

from tests.common.backend_standin import bulk_bytes
from tests.common.deployment_case import DeploymentCase
from tests.common.fault_proxy import Address, FaultProxy
from tests.common.platform_process import fresh_address
from tests.common.raw_caller import Place
from wagtailpoint.caller import Caller, EntryAddress
from wagtailpoint.caller.exchange import Broken, Exchanges, Outgoing, Reply
from wagtailpoint.errors import RequestUnanswered

REQUESTS = 60
BULK_BYTES = 1_500_000
SLOW_BULK_MS = 3000
CLIENT = "10.16.0.9"
PROXY_PORT = 9100
in_thread = trio.to_thread.run_sync


class AnswersTest(DeploymentCase):
    AT_MOST_ONCE = False

    def tearDown(self) -> None:
        self.set_backends()

    def test_backend_servers_that_answer_with_crossed_ids(self) -> None:
        """Symptom: a tenant reads another tenant's balance.

        Sequence: a backend server gives a third of its answers the id of another request. Cause:
        an answer is taken to be the next request's on the connection, whatever it says itself.
        """

        async def test() -> None:
            await in_thread(partial(self.set_backends, cross=0.3))
            place = self.running.entries[0].place
            async with trio.open_nursery() as nursery:
                for number in range(REQUESTS):
                    nursery.start_soon(self.get, place, f"/deposits/balance/crossed-{number}")

        self.run_trio(test)

    def test_second_answers_behind_the_first(self) -> None:
        """Symptom: all later callers of a connection get the answer of the one before.

        Sequence: backend servers send an answer that nobody asked for behind half of theirs.
        Cause: it waits in the connection for the next request.
        """

        async def test() -> None:
            await in_thread(partial(self.set_backends, glue=0.5))
            place = self.running.entries[0].place
            for number in range(REQUESTS):
                await self.get(place, f"/deposits/balance/glued-{number}")
            whole = [heard for heard in self.raw.heard if heard.status == 200]
            self.assertGreater(len(whole), REQUESTS // 2)
            glued = sum(record["counts"].get("glued", 0) for record in self.records())
            self.assertGreater(glued, 0)

        self.run_trio(test)

    def test_bodies_shorter_than_promised(self) -> None:
        """Symptom: half a certificate is filed as a whole one.

        Sequence: backend servers close their connections one byte short of the promised length.
        Cause: the end of the connection is passed on as the end of the body.
        """

        async def test() -> None:
            await in_thread(partial(self.set_backends, short_body=1.0))
            place = self.running.entries[0].place
            for number in range(10):
                await self.get(place, f"/deposits/balance/short-{number}")
            self.assertNotIn(200, {heard.status for heard in self.raw.heard})

        self.run_trio(test)

    def test_answers_crossed_between_entry_and_callers(self) -> None:
        """Symptom: two callers get each other's answers.

        Sequence: something between callers and entry swaps the answers of two connections. Cause:
        a caller believes whatever arrives on its connection.
        """

        async def test() -> None:
            place = (fresh_address(), PROXY_PORT)
            first = self.running.entries[0].place
            results: list[Reply | Broken] = []

            async def ask(path: str) -> None:
                exchanges = Exchanges(connect_timeout_s=1.0, idle_timeout_s=5.0)
                headers = [(b"wagtailpoint-workspace", b"surakkha")]
                outgoing = Outgoing("GET", path, headers, b"")
                until = trio.current_time() + 5.0
                results.append(
                    await exchanges.exchange(EntryAddress(*place), outgoing, until=until)
                )
                await exchanges.aclose()

            async with trio.open_nursery() as nursery:
                proxy = FaultProxy(listen=Address(*place), target=Address(*first))
                await nursery.start(proxy.serve)
                await proxy.cross_answers()
                async with trio.open_nursery() as callers:
                    for number in range(8):
                        callers.start_soon(ask, f"/deposits/balance/swapped-{number}")
                nursery.cancel_scope.cancel()
            self.assertEqual([type(result) for result in results], [Broken] * 8)

        self.run_trio(test)

    async def get(self, place: Place, path: str) -> None:
        await self.raw.send(place, path, method="GET", deadline_s=3.0)


class DownloadTest(DeploymentCase):
    AT_MOST_ONCE = False

    def tearDown(self) -> None:
        self.set_backends()

    async def download(self, caller: Caller, path: str) -> bytes:
        async with caller.stream("GET", path, deadline_s=10.0) as download:
            return b"".join([chunk async for chunk in download.chunks()])

    def test_backend_servers_that_die_in_the_middle(self) -> None:
        """Symptom: a bulk certificate download has to begin again, or is short by a page.

        Sequence: half of the downloads lose their backend server half-way; those that go on lose
        the next one, too. Cause: the rest is asked for by range, under the validator of the first.
        """

        async def test() -> None:
            await in_thread(partial(self.set_backends, die_in_body=0.5))
            async with self.running.caller("surakkha", address=CLIENT) as caller:
                for _ in range(6):
                    body = await self.download(caller, f"/certificates/bulk/{BULK_BYTES}")
                    self.assertTrue(body == bulk_bytes(0, BULK_BYTES), len(body))
            died = sum(record["counts"].get("broken_body", 0) for record in self.records())
            self.assertGreater(died, 0)

        self.run_trio(test)

    def test_without_a_validator_the_download_ends_broken(self) -> None:
        """Symptom: a download is put together from two different files.

        Sequence: the backend server dies half-way and its answer had no validator. Cause: nothing
        tells whether the rest would be of the same file, so it must not be asked for.
        """

        async def test() -> None:
            await in_thread(partial(self.set_backends, die_in_body=1.0, no_validator=True))
            path = f"/certificates/bulk/{BULK_BYTES + 1}"
            async with self.running.caller("surakkha", address=CLIENT) as caller:
                with self.assertRaises(RequestUnanswered):
                    await self.download(caller, path)
            arrived = [a for record in self.records() for a in record["arrivals"]]
            self.assertEqual(len([a for a in arrived if a["path"] == path]), 1)

        self.run_trio(test)

    def test_entry_killed_in_the_middle(self) -> None:
        """Symptom: an agent's download is lost with the entry that it went through.

        Sequence: the entry is killed while slow downloads run; they go on through the others.
        Cause: a download outlives the process that it began with.
        """

        async def test() -> None:
            path = f"/certificates/bulk/{BULK_BYTES}?ms={SLOW_BULK_MS}"
            by_address = {entry.settings.address: entry for entry in self.running.entries}
            async with (
                self.running.caller("surakkha", address=CLIENT) as caller,
                caller.stream("GET", path, deadline_s=10.0) as download,
            ):
                assert download.entry is not None
                killed = by_address[download.entry.address]
                chunks = download.chunks()
                body = await anext(chunks)
                await in_thread(killed.kill)
                body += b"".join([chunk async for chunk in chunks])
                self.assertTrue(body == bulk_bytes(0, BULK_BYTES), len(body))
                self.assertNotEqual(download.entry.address, killed.settings.address)
            await in_thread(self.replace, killed)

        self.run_trio(test)
