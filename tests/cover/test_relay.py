"""Connections to backend servers that one instance relays for another."""

import socket
import struct
from collections.abc import Sequence
from random import Random

import trio

from tests.common.relay_case import RELAY_PORT, SOON_S, RelayCase
from tests.common.scripted_server import ScriptedStream
from tests.common.sockets import loopback_address, reset_connection
from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.ports.backend import BackendAddress, FailureReason
from wagtailpoint.proxy.backend_dialer import OpenedStream
from wagtailpoint.relay.protocol import MAX_HEAD_BYTES
from wagtailpoint.verdict import Verdict


async def echo(stream: ScriptedStream) -> None:
    """Send back what arrives, until the end."""
    while data := await stream.stream.receive_some(65536):
        await stream.send(bytes(data))


async def receive_exactly(stream: trio.abc.Stream, size: int) -> bytes:
    data = b""
    while len(data) < size:
        part = await stream.receive_some(65536)
        if not part:
            raise AssertionError(f"ended after {len(data)} of {size} bytes")
        data += part
    return data


class RelayedBytesTest(RelayCase):
    def test_bytes_pass_unchanged_in_both_directions(self) -> None:
        """Guards against bodies and answers that a relay cuts or changes."""
        data = Random(1).randbytes(3_000_000)

        async def test(entry: ServerEntry) -> None:
            opened = await self.client.open(entry)
            received = b""
            async with trio.open_nursery() as nursery:
                nursery.start_soon(opened.stream.send_all, data)
                received = await receive_exactly(opened.stream, len(data))
            self.assertEqual(received, data)
            self.assertEqual(opened.relay, f"{self.relay.address}#1")
            await opened.stream.aclose()

        self.run_with(echo, test)

    def test_close_of_the_caller_reaches_the_backend_server_at_once(self) -> None:
        """Guards against backend servers that work for callers who have left."""
        ended = trio.Event()

        async def script(stream: ScriptedStream) -> None:
            try:
                while await stream.stream.receive_some(65536):
                    pass
            finally:
                ended.set()

        async def test(entry: ServerEntry) -> None:
            opened = await self.client.open(entry)
            await opened.stream.send_all(b"request")
            await trio.aclose_forcefully(opened.stream)
            with trio.fail_after(SOON_S):
                await ended.wait()
                await self.server.wait_idle()

        self.run_with(script, test)

    def test_close_is_noticed_while_the_backend_server_does_not_read(self) -> None:
        """Guards against an upload that hides that its caller has left."""
        ended = trio.Event()

        async def script(stream: ScriptedStream) -> None:
            await trio.sleep(1.0)
            try:
                while await stream.stream.receive_some(65536):
                    pass
            except trio.BrokenResourceError:
                pass
            ended.set()

        async def test(entry: ServerEntry) -> None:
            opened = await self.client.open(entry)
            await opened.stream.send_all(bytes(100_000))
            await trio.aclose_forcefully(opened.stream)
            with trio.fail_after(SOON_S):
                await self.server.wait_idle()
            await ended.wait()

        self.run_with(script, test)

    def test_answer_that_ends_with_its_connection_is_complete(self) -> None:
        """Guards against an end that overtakes the bytes before it, or looks like a reset."""
        body = Random(2).randbytes(500_000)

        async def script(stream: ScriptedStream) -> None:
            await stream.stream.receive_some(65536)
            await stream.send(body)

        async def test(entry: ServerEntry) -> None:
            opened = await self.client.open(entry)
            await opened.stream.send_all(b"request")
            received = await receive_exactly(opened.stream, len(body))
            self.assertEqual(received, body)
            self.assertEqual(await opened.stream.receive_some(), b"")
            await opened.stream.aclose()

        self.run_with(script, test)

    def test_reset_of_the_backend_server_arrives_as_a_reset(self) -> None:
        """Guards against a cut answer without a length that looks complete."""

        async def script(stream: ScriptedStream) -> None:
            await stream.stream.receive_some(10)
            await stream.send(b"half of an answer")
            await trio.sleep(0.05)
            await reset_connection(stream.stream)

        async def test(entry: ServerEntry) -> None:
            opened = await self.client.open(entry)
            await opened.stream.send_all(b"request")
            with self.assertRaises(trio.BrokenResourceError):
                while await opened.stream.receive_some():
                    pass
            await opened.stream.aclose()

        self.run_with(script, test)

    def test_reset_of_the_near_side_ends_the_far_side(self) -> None:
        """Guards against backend connections that outlive an instance that was killed."""
        ended = trio.Event()

        async def script(stream: ScriptedStream) -> None:
            try:
                await stream.stream.receive_some(65536)
            finally:
                ended.set()

        async def test(entry: ServerEntry) -> None:
            opened = await self.client.open(entry)
            opened.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            await trio.aclose_forcefully(opened.stream)
            with trio.fail_after(SOON_S):
                await ended.wait()

        self.run_with(script, test)


class RelayRefusalTest(RelayCase):
    def check_refused(self, reason: FailureReason) -> None:
        async def test(entry: ServerEntry) -> None:
            error = await self.failure(entry)
            self.assertEqual((error.verdict, error.reason), (Verdict.NOT_RUN, reason))
            self.assertEqual(self.server.open_connections, 0)

        self.run_with(echo, test)

    def test_only_instances_may_use_a_relay(self) -> None:
        """Guards against strangers who reach backend servers through an instance."""
        self.own = self.own._replace(incarnation=8)
        self.check_refused(FailureReason.CONNECT_FAILED)

    def test_dead_instance_may_not_use_a_relay(self) -> None:
        """Guards against an address that was taken over from an instance that has ended."""
        self.members = [self.own._replace(state="dead"), self.relay]
        self.check_refused(FailureReason.CONNECT_FAILED)

    def test_leaving_or_busy_instance_does_not_relay(self) -> None:
        """Guards against connections that a planned stop would cut."""
        self.available = False
        self.check_refused(FailureReason.CONNECT_FAILED)

    def test_isolated_instance_is_not_asked(self) -> None:
        """Guards against requests that pass through two instances."""
        self.members = [self.own, self.relay._replace(state="isolated")]
        self.check_refused(FailureReason.CONNECT_FAILED)

    def test_instance_of_another_region_is_not_asked(self) -> None:
        """Guards against requests that leave their home region on the way to a server in it."""
        self.members = [self.own, self.relay._replace(region="b", failure_domain="b-1")]
        self.check_refused(FailureReason.CONNECT_FAILED)

    def test_instance_of_another_region_relays_for_requests_without_homes(self) -> None:
        """Guards against backend servers that nobody reaches while their region is isolated."""
        self.relay = self.relay._replace(region="b", failure_domain="b-1")
        self.members = [self.own, self.relay]

        async def test(entry: ServerEntry) -> None:
            opened = await self.client.open(entry)
            self.assertTrue(opened.leaves_region)
            await opened.stream.aclose()

        self.run_with(echo, test)

    def test_relay_leads_to_registered_servers_only(self) -> None:
        """Guards against connections to any address."""

        async def test(entry: ServerEntry) -> None:
            self.servers["i-1"] = entry._replace(address=BackendAddress("127.0.0.1", 9))
            error = await self.failure(entry)
            self.assertIs(error.reason, FailureReason.CONNECT_FAILED)
            del self.servers["i-1"]
            await trio.sleep(1.1)
            error = await self.failure(entry)
            self.assertIs(error.reason, FailureReason.CONNECT_FAILED)

        self.run_with(echo, test)

    def test_server_that_refuses_the_relay_has_not_run_the_request(self) -> None:
        """Guards against a dead backend server that is taken for a relay that fails."""

        async def test(entry: ServerEntry) -> None:
            dead = entry._replace(address=BackendAddress(loopback_address(), 9))
            self.servers["i-1"] = dead
            error = await self.failure(dead)
            self.assertEqual(
                (error.verdict, error.reason), (Verdict.NOT_RUN, FailureReason.CONNECT_REFUSED)
            )

        self.run_with(echo, test)

    def test_server_that_wants_nothing_from_the_relay_is_not_connected_to(self) -> None:
        """Guards against relayed requests in a rest that the relay was asked for."""

        async def test(entry: ServerEntry) -> None:
            self.backoff_s = 2.5
            error = await self.failure(entry)
            self.assertEqual(
                (error.verdict, error.reason), (Verdict.NOT_RUN, FailureReason.BACKING_OFF)
            )
            self.assertEqual(self.backoffs, [(entry.start.key, 2.5)])
            self.backoff_s = 0.0
            await (await self.client.open(entry)).stream.aclose()

        self.run_with(echo, test)

    def test_relay_knows_who_uses_it(self) -> None:
        async def test(entry: ServerEntry) -> None:
            opened = await self.client.open(entry)
            self.assertEqual(self.server.users(entry.start.key), (self.own.address,))
            await opened.stream.aclose()
            with trio.fail_after(SOON_S):
                await self.server.wait_idle()
            self.assertEqual(self.server.users(entry.start.key), ())

        self.run_with(echo, test)

    def test_number_of_relayed_connections_is_bounded(self) -> None:
        """Guards against work for others that leaves no room for own callers."""

        async def test(entry: ServerEntry) -> None:
            opened: list[OpenedStream] = [await self.client.open(entry) for _ in range(2)]
            error = await self.failure(entry)
            self.assertIs(error.reason, FailureReason.CONNECT_FAILED)
            for connection in opened:
                await connection.stream.aclose()
            with trio.fail_after(SOON_S):
                await self.server.wait_idle()
            await trio.sleep(1.1)
            await (await self.client.open(entry)).stream.aclose()

        self.run_with(echo, test)


class InvalidOpeningTest(RelayCase):
    def check_closed(self, inputs: Sequence[bytes]) -> None:
        """Check that each input ends its connection, and that the relay still works."""

        async def test(entry: ServerEntry) -> None:
            for sent in inputs:
                stream = await trio.open_tcp_stream(self.relay.address, RELAY_PORT)
                async with stream:
                    await stream.send_all(sent)
                    with trio.fail_after(3.0):
                        received = b""
                        try:
                            while part := await stream.receive_some():
                                received += part
                        except trio.BrokenResourceError:
                            pass
                    self.assertNotIn(b"200", received, sent)
            opened = await self.client.open(entry)
            await opened.stream.send_all(b"x")
            self.assertEqual(await opened.stream.receive_some(), b"x")
            await opened.stream.aclose()

        self.run_with(echo, test)

    def test_invalid_input_ends_one_connection(self) -> None:
        """Guards against bytes that end the relay or other connections."""
        head = b"CONNECT 127.0.0.1:9 HTTP/1.1\r\nhost: x\r\n"
        names = b"relay-sender: 7\r\nrelay-server: i-1\r\n\r\n"
        self.check_closed(
            [
                b"\x00\xff\x17garbage\r\n\r\n",
                b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
                head + b"\r\n",
                head + b"relay-sender: one\r\nrelay-server: i-1\r\n\r\n",
                head + b"relay-sender: \xb2\r\nrelay-server: i-1\r\n\r\n",
                head + b"relay-sender: " + b"9" * 5000 + b"\r\nrelay-server: i-1\r\n\r\n",
                b"CONNECT 127.0.0.1:" + b"9" * 5000 + b" HTTP/1.1\r\nhost: x\r\n" + names,
                b"CONNECT nowhere HTTP/1.1\r\nhost: x\r\n" + names,
                head + b"relay-sender: 7\r\nrelay-server: \xff\xfe\r\n\r\n",
                head + b"x: " + b"a" * (2 * MAX_HEAD_BYTES),
            ]
        )

    def test_silent_connection_is_closed(self) -> None:
        """Guards against descriptors that are held by connections without a request."""
        self.check_closed([b"CONNECT 127.0.0.1:9"])
