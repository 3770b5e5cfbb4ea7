"""A caller gets the complete answer to its request, or detects that the answer is broken."""

from functools import partial

import trio

from tests.common.backend_standin import bulk_bytes
from tests.common.deployment_case import DeploymentCase
from tests.common.fault_proxy import Address, FaultProxy
from tests.common.platform_process import fresh_address
from tests.common.raw_caller import Place
from wagtailpoint.caller import Caller, EntryAddress
from wagtailpoint.caller.exchange import Exchanges, FailedExchange, Outgoing, Reply
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
        """Guards against a tenant who reads another tenant's balance.

        A backend server sends a third of its answers with the id of another request. An answer must
        not count as the next request's on the connection regardless of its id.
        """

        async def test() -> None:
            await in_thread(partial(self.set_backends, cross=0.3))
            place = self.running.entries[0].place
            async with trio.open_nursery() as nursery:
                for number in range(REQUESTS):
                    nursery.start_soon(self.get, place, f"/deposits/balance/crossed-{number}")

        self.run_trio(test)

    def test_unsolicited_second_answers(self) -> None:
        """Guards against callers that get the answer to the previous request on a connection.

        Backend servers send an unsolicited answer after half of their answers; it would stay in the
        connection until the next request.
        """

        async def test() -> None:
            await in_thread(partial(self.set_backends, glue=0.5))
            place = self.running.entries[0].place
            for number in range(REQUESTS):
                await self.get(place, f"/deposits/balance/glued-{number}")
            complete = [answer for answer in self.raw.heard if answer.status == 200]
            self.assertGreater(len(complete), REQUESTS // 2)
            glued = sum(record["counts"].get("glued", 0) for record in self.records())
            self.assertGreater(glued, 0)

        self.run_trio(test)

    def test_bodies_shorter_than_declared(self) -> None:
        """Guards against a truncated certificate that looks complete.

        Backend servers close their connections one byte before the declared length. The end of the
        connection must not be forwarded as the end of the body.
        """

        async def test() -> None:
            await in_thread(partial(self.set_backends, short_body=1.0))
            place = self.running.entries[0].place
            for number in range(10):
                await self.get(place, f"/deposits/balance/short-{number}")
            self.assertNotIn(200, {answer.status for answer in self.raw.heard})

        self.run_trio(test)

    def test_answers_crossed_between_entry_and_callers(self) -> None:
        """Guards against two callers that get each other's answers.

        An intermediary between callers and entry swaps the answers of two connections. A caller
        must not accept every answer that arrives on its connection.
        """

        async def test() -> None:
            place = (fresh_address(), PROXY_PORT)
            first = self.running.entries[0].place
            results: list[Reply | FailedExchange] = []

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
            self.assertEqual([type(result) for result in results], [FailedExchange] * 8)

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

    def test_backend_servers_that_fail_in_the_middle(self) -> None:
        """Guards against a bulk download that is truncated or has to start again.

        Half of the downloads lose their backend server half-way, and resumed ones may lose the next
        one too. The rest is requested by range, with the validator of the first response.
        """

        async def test() -> None:
            await in_thread(partial(self.set_backends, die_in_body=0.5))
            async with self.running.caller("surakkha", address=CLIENT) as caller:
                for _ in range(6):
                    body = await self.download(caller, f"/certificates/bulk/{BULK_BYTES}")
                    self.assertTrue(body == bulk_bytes(0, BULK_BYTES), len(body))
            broken_bodies = sum(record["counts"].get("broken_body", 0) for record in self.records())
            self.assertGreater(broken_bodies, 0)

        self.run_trio(test)

    def test_download_without_a_validator_is_not_resumed(self) -> None:
        """Guards against a download that is assembled from two different files.

        The backend server fails half-way and its answer had no validator. It is unknown whether the
        rest would be of the same file, so it must not be requested.
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
        """Guards against a download that is lost with its entry.

        The entry is killed during a slow download, which has to continue through another entry.
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
