"""Requests that wait at the instance until a backend server has room, and what ends their wait."""

from collections.abc import Awaitable, Callable
from copy import copy
from functools import partial
from unittest.mock import patch

import trio

from tests.common.dispatcher_case import Backend, DispatcherCase, get, ok, silent
from tests.common.steering_parts import SteeringParts, make_route, make_server, make_table
from wagtailpoint.admission.room_queue import MAX_WAITING
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.placement.choice import Choice, Declined, Demand, NotPlaced
from wagtailpoint.proxy.request_context import RequestContext
from wagtailpoint.proxy.room_waiting import MAX_WAIT_FRACTION
from wagtailpoint.routing.table import RouteTable
from wagtailpoint.routing.workspaces import WorkspacePolicy, key_digest

OBJECTIVE_S = 4.0
HOLD_S = MAX_WAIT_FRACTION * OBJECTIVE_S
ROUTE = make_route(objective_s=OBJECTIVE_S, timeout_s=8.0)
KEY = b"Authorization: Bearer k"


class RoomWaitingTest(DispatcherCase):
    """Replaces the placement by one that has no room until the test says so.

    Attributes:
        full: The ids of backend servers without room.
    """

    def setUp(self) -> None:
        super().setUp()
        self.full: set[str] = set()
        self.use_table(make_table(ROUTE))

    def use_table(self, table: RouteTable) -> None:
        self.parts = SteeringParts(table)
        self.parts.queues_requests = True
        choose = self.parts.placement.choose

        def choose_unless_full(demand: Demand) -> Choice | NotPlaced:
            candidates = [found.entry for found in self.parts.fleet.candidates("desk")]
            if candidates and all(entry.server_id in self.full for entry in candidates):
                return NotPlaced(
                    "no room", [Declined(entry, "full", 3.0, 0.0) for entry in candidates]
                )
            return choose(demand)

        patched = patch.object(self.parts.placement, "choose", choose_unless_full)
        patched.start()
        self.addCleanup(patched.stop)

    def run_waiting(
        self, backend: Backend, request: bytes, change: Callable[[], Awaitable[None] | None]
    ) -> tuple[bytes, float]:
        """Apply a change while a request waits; return the reply and how long that took."""
        self.full = {"i-1"}
        replies: list[bytes] = []
        took_s = 0.0

        async def test(endpoint: Endpoint) -> None:
            nonlocal took_s

            async def send() -> None:
                replies.append(await self.reply(endpoint, request))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await self.wait_for(lambda: self.parts.room.waiting == 1)
                changed_at = trio.current_time()
                change()
            took_s = trio.current_time() - changed_at

        self.run_with({"i-1": backend.script}, test)
        self.assertEqual(self.parts.room.waiting, 0)
        self.assertFalse(self.parts.room._queue.is_reserved("i-1"))
        return replies[0], took_s

    def are_waiting(self, count: int) -> bool:
        return self.parts.room.waiting == count

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        while not condition():  # noqa: ASYNC110 - the condition has no event
            await trio.sleep(0.001)

    def test_request_is_sent_when_there_is_room(self) -> None:
        backend = Backend(ok)
        reply, took_s = self.run_waiting(backend, get("/r/x"), self.full_no_more)
        self.assertTrue(reply.startswith(b"HTTP/1.1 200"), reply)
        self.assertEqual(len(backend.requests), 1)
        self.assertLess(took_s, HOLD_S)

    def full_no_more(self) -> None:
        self.full = set()

    def test_wait_is_bounded(self) -> None:
        """Guards against callers that are held until their retry would come too late."""
        reply, took_s = self.run_waiting(Backend(ok), get("/r/x"), lambda: None)
        self.assertTrue(reply.startswith(b"HTTP/1.1 503"), reply)
        self.assertTrue(reply.endswith(b"not run: no room\n"), reply)
        self.assertIn(b"retry-after: ", reply)
        self.assertGreater(took_s, HOLD_S / 2)
        self.assertEqual(self.parts.metrics.counts["room-queue.refused.no-room"], 1)

    def test_bound_after_a_start_refuses_nobody(self) -> None:
        """Guards against refusals only because requests before hold the turn at a bounded server.

        Without the bound the order holds, and the request without a turn is refused as before.
        """
        for is_bounded, status in ((True, b"200"), (False, b"503")):
            with self.subTest(is_bounded=is_bounded):
                self.use_table(make_table(ROUTE))
                self.parts.room._is_bounded = {"desk": is_bounded}.__getitem__
                with patch.object(self.parts.room._queue, "offer", lambda *args: []):
                    reply, took_s = self.run_waiting(Backend(ok), get("/r/x"), self.full_no_more)
                self.assertTrue(reply.startswith(b"HTTP/1.1 " + status), reply)
                self.assertGreater(took_s, HOLD_S / 2)

    def test_disabled_queue_refuses_at_once(self) -> None:
        """Guards against a change of what deployments without shared machines see."""
        self.full = {"i-1"}
        self.parts.queues_requests = False
        (reply,) = self.replies({"i-1": Backend(ok).script}, get("/r/x"))
        self.assertTrue(reply.endswith(b"not run: no room\n"), reply)
        self.assertEqual(self.parts.metrics.counts["room-queue.waited"], 0)

    def test_caller_who_leaves(self) -> None:
        """Guards against requests that are sent for nobody, and against a queue of such ones."""
        self.full = {"i-1"}
        backend = Backend(ok)

        async def test(endpoint: Endpoint) -> None:
            stream = await trio.open_tcp_stream(*endpoint)
            await stream.send_all(get("/r/x"))
            await self.wait_for(lambda: self.parts.room.waiting == 1)
            left_at = trio.current_time()
            await stream.aclose()
            await self.wait_for(lambda: self.parts.room.waiting == 0)
            self.assertLess(trio.current_time() - left_at, HOLD_S / 2)
            self.full = set()
            await trio.sleep(0.1)

        self.run_with({"i-1": backend.script}, test)
        self.assertEqual(backend.requests, [])

    def test_revoked_key(self) -> None:
        """Guards against a request that runs after its key was revoked during the wait."""
        workspaces = {key_digest(b"k"): WorkspacePolicy("w")}
        self.use_table(make_table(ROUTE)._replace(workspaces=workspaces))
        backend = Backend(ok)

        def revoke() -> None:
            self.parts.table = make_table(ROUTE, version=2)._replace(workspaces={})
            self.full = set()

        reply, _ = self.run_waiting(backend, get("/r/x", KEY.decode()), revoke)
        self.assertTrue(reply.startswith(b"HTTP/1.1 401"), reply)
        self.assertEqual(backend.requests, [])

    def test_revoked_key_without_room(self) -> None:
        """Guards against a revoked key that is told to come back."""
        workspaces = {key_digest(b"k"): WorkspacePolicy("w")}
        self.use_table(make_table(ROUTE)._replace(workspaces=workspaces))

        def revoke() -> None:
            self.parts.table = make_table(ROUTE, version=2)._replace(workspaces={})

        reply, _ = self.run_waiting(Backend(ok), get("/r/x", KEY.decode()), revoke)
        self.assertTrue(reply.startswith(b"HTTP/1.1 401"), reply)

    def test_planned_stop(self) -> None:
        """Guards against a wait that goes on although the process will not outlast the request."""
        backend = Backend(ok)

        def stop() -> None:
            self.parts.stop_clock.begin(began_at=trio.current_time(), lasts_s=1.0)

        reply, took_s = self.run_waiting(backend, get("/r/x"), stop)
        self.assertTrue(reply.startswith(b"HTTP/1.1 503"), reply)
        self.assertTrue(reply.endswith(b"not run: stopping\n"), reply)
        self.assertEqual(backend.requests, [])
        self.assertLess(took_s, HOLD_S / 2)

    def test_end_of_the_process(self) -> None:
        """Guards against a waiting request that gets no reply when the process ends."""
        reply, took_s = self.run_waiting(
            Backend(ok), get("/r/x"), lambda: self.parts.dispatcher.end_requests()
        )
        self.assertTrue(reply.endswith(b"not run: stopping\n"), reply)
        self.assertLess(took_s, HOLD_S / 2)

    def test_drained_server(self) -> None:
        """Guards against a send to a backend server that began to drain during the wait."""
        backend = Backend(ok)

        def drain() -> None:
            entries = [*self.parts.fleet.entries.values()]
            self.parts.fleet.update([entry._replace(draining=True) for entry in entries])
            self.full = set()

        reply, took_s = self.run_waiting(backend, get("/r/x"), drain)
        self.assertTrue(reply.endswith(b"not run: no backend server\n"), reply)
        self.assertEqual(backend.requests, [])
        self.assertLess(took_s, HOLD_S / 2)

    def test_evacuated_failure_domain(self) -> None:
        """Guards against a send to a failure domain that was evacuated during the wait."""
        backend = Backend(ok)

        def evacuate() -> None:
            self.parts.fleet.evacuate(frozenset(["a-1"]), {})
            self.full = set()

        reply, took_s = self.run_waiting(backend, get("/r/x"), evacuate)
        self.assertTrue(reply.startswith(b"HTTP/1.1 503"), reply)
        self.assertTrue(reply.endswith(b"not run: no backend server\n"), reply)
        self.assertEqual(backend.requests, [])
        self.assertLess(took_s, HOLD_S / 2)

    def test_evacuated_failure_domain_with_another_one(self) -> None:
        """Guards against a request that is refused although another failure domain has room."""
        backends = [Backend(ok), Backend(ok)]
        self.full = {"i-1"}
        replies: list[bytes] = []

        async def test(endpoint: Endpoint) -> None:
            first, second = self.parts.fleet.entries.values()
            other = second._replace(failure_domain="a-2")
            self.parts.fleet.update([first, other])
            self.full = {"i-1", "i-2"}

            async def send() -> None:
                replies.append(await self.reply(endpoint, get("/r/x")))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await self.wait_for(lambda: self.parts.room.waiting == 1)
                self.parts.fleet.evacuate(frozenset(["a-1"]), {})
                self.full = set()

        scripts = {"i-1": backends[0].script, "i-2": backends[1].script}
        self.run_with(scripts, test)
        self.assertTrue(replies[0].startswith(b"HTTP/1.1 200"), replies)
        self.assertEqual([len(backend.requests) for backend in backends], [0, 1])

    def test_room_given_to_the_last_waiting_request_is_kept_for_it(self) -> None:
        """Guards against a request that arrives before the one with the room goes on, and takes it.

        No request waits at that moment, as the only one has left the queue.
        """
        room = self.parts.room
        offer = room._offer
        results: list[Choice | NotPlaced] = []
        arrived: list[RequestContext] = []

        def offer_and_arrive(service: str, server: str = "") -> None:
            offer(service, server)
            if room._queue.is_reserved("i-1") and not arrived:
                (granted,) = room._granted
                arrived.append(copy(granted))
                results.append(room.choose(arrived[0]))

        backend = Backend(ok)
        with patch.object(room, "_offer", offer_and_arrive):
            reply, _ = self.run_waiting(backend, get("/r/x"), self.full_no_more)
        self.assertTrue(reply.startswith(b"HTTP/1.1 200"), reply)
        (result,) = results
        assert isinstance(result, NotPlaced)
        self.assertEqual([declined.reason for declined in result.declined], ["queued"])

    def test_switch_turned_off_and_on_during_a_send(self) -> None:
        """Guards against a reservation that outlasts the begin of its exchange.

        While the exchange lasts, nobody else would get the free slots of that server.
        """
        self.full = {"i-1"}
        queue = self.parts.room._queue
        offer = queue.offer

        def offer_and_turn_off(*args, **options):
            found = offer(*args, **options)
            if found:
                self.parts.queues_requests = False
            return found

        async def test(endpoint: Endpoint) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.reply, endpoint, get("/r/x"))
                await self.wait_for(lambda: self.parts.room.waiting == 1)
                self.full = set()
                await self.wait_for(lambda: len(backend.requests) == 1)
                self.parts.queues_requests = True
                self.assertFalse(queue.is_reserved("i-1"))
                nursery.cancel_scope.cancel()

        backend = Backend(silent)
        with patch.object(queue, "offer", offer_and_turn_off):
            self.run_with({"i-1": backend.script}, test)

    def test_new_server(self) -> None:
        """Guards against a wait for full backend servers although a new one has room."""
        backend = Backend(ok)

        def add() -> None:
            (entry,) = self.parts.fleet.entries.values()
            self.parts.fleet.update([entry, make_server("i-2", entry.address)])

        reply, took_s = self.run_waiting(backend, get("/r/x"), add)
        self.assertTrue(reply.startswith(b"HTTP/1.1 200"), reply)
        self.assertLess(took_s, HOLD_S)

    def test_deadline_that_is_already_over(self) -> None:
        """Guards against a wait after which an answer could only come too late."""
        self.full = set()
        answered = Backend(ok)
        replies: list[bytes] = []

        async def test(endpoint: Endpoint) -> None:
            replies.append(await self.reply(endpoint, get("/r/x")))
            self.full = {"i-1"}
            replies.append(await self.reply(endpoint, get("/r/x", "X-Deadline-Ms: 60")))

        self.run_with({"i-1": answered.script}, test)
        self.assertTrue(replies[0].startswith(b"HTTP/1.1 200"), replies)
        self.assertTrue(replies[1].endswith(b"not run: deadline\n"), replies)
        self.assertEqual(self.parts.metrics.counts["room-queue.waited"], 0)

    def test_full_queue(self) -> None:
        """Guards against a queue that grows with the load; the last in the order is refused."""
        self.full = {"i-1"}
        replies: list[bytes] = []

        async def test(endpoint: Endpoint) -> None:
            async def send(deadline_ms: int) -> None:
                request = get("/r/x", f"X-Deadline-Ms: {deadline_ms}")
                replies.append(await self.reply(endpoint, request))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, 8000)
                await self.wait_for(lambda: self.parts.room.waiting == 1)
                nursery.start_soon(send, 6000)
                await self.wait_for(lambda: len(replies) == 1)
                self.assertEqual(self.parts.room.waiting, 1)
                self.full = set()

        with patch.object(self.parts.room._queue, "_max_waiting", 1):
            self.run_with({"i-1": Backend(ok).script}, test)
        self.assertTrue(replies[0].endswith(b"not run: no room\n"), replies)
        self.assertTrue(replies[1].startswith(b"HTTP/1.1 200"), replies)
        self.assertLessEqual(MAX_WAITING, 1000)

    def test_order_of_waiting_requests(self) -> None:
        """Guards against urgent requests and returning callers that wait behind new ones."""
        urgent = make_route("u", objective_s=OBJECTIVE_S, timeout_s=8.0, priority=0)
        self.use_table(make_table(ROUTE, urgent))
        targets = self.targets_in_order(
            get("/r/new"), get("/r/returned", "X-Deadline-Ms: 4000"), get("/u/urgent")
        )
        self.assertEqual(targets, ["/u/urgent", "/r/returned", "/r/new"])

    def test_order_of_deadlines_longer_than_the_timeout(self) -> None:
        """Guards against returning callers who lose their place as their deadlines are cut.

        All of these deadlines are later than the time-out of the route, which only the last caller
        waits for.
        """
        targets = self.targets_in_order(
            get("/r/new", "X-Deadline-Ms: 30000"),
            get("/r/returned", "X-Deadline-Ms: 12000"),
            get("/r/returned-twice", "X-Deadline-Ms: 9000"),
            get("/r/unstated"),
        )
        self.assertEqual(targets, ["/r/unstated", "/r/returned-twice", "/r/returned", "/r/new"])

    def targets_in_order(self, *requests: bytes) -> list[str]:
        """Let requests wait, sent one after another; return their targets in the order of sends."""
        self.full = {"i-1"}

        async def test(endpoint: Endpoint) -> None:
            async with trio.open_nursery() as nursery:
                for count, request in enumerate(requests):
                    nursery.start_soon(self.reply, endpoint, request)
                    await self.wait_for(partial(self.are_waiting, count + 1))
                self.full = set()

        # The backend server may see another order, since each request opens a connection.
        with patch.object(
            self.parts.placement, "record_send", wraps=self.parts.placement.record_send
        ) as sends:
            self.run_with({"i-1": Backend(ok).script}, test)
        return [call.args[0].key for call in sends.call_args_list]
