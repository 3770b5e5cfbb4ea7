"""Which heads are responses, for each part that reads responses."""

import unittest
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

import trio
from result import Err, Ok

from tests.common.relay_case import LIMIT_S
from tests.common.scripted_server import ScriptedStream, scripted_server
from wagtailpoint.adapters.backend_http import HttpBackends
from wagtailpoint.adapters.object_calls import Call, ObjectCalls
from wagtailpoint.caller.exchange import EntryAddress, Exchanges, FailedExchange, Outgoing
from wagtailpoint.platform.header_names import HEADER_NAMES
from wagtailpoint.ports.backend import BackendAddress, BackendRequest, FailureReason
from wagtailpoint.proxy.backend_connection import (
    BackendConnection,
    BackendReply,
    ExchangeFailed,
)
from wagtailpoint.proxy.backend_dialer import open_stream
from wagtailpoint.proxy.request_encoding import OutgoingRequest
from wagtailpoint.relay.protocol import InvalidOpening, read_answer
from wagtailpoint.response_head import HeadCheck, InvalidHead
from wagtailpoint.verdict import Verdict

IDS = b"X-Attempt-Id: a1\r\nWagtailpoint-Request-Id: a1\r\nRelay-Number: 1\r\n"
REST = IDS + b"X-Response-Seal: s\r\nContent-Length: 2\r\n\r\n{}"
OK = b"HTTP/1.1 200 OK\r\n"

BAD = {
    "status 000": b"HTTP/1.1 000 OK\r\n" + REST,
    "status 099": b"HTTP/1.1 099 OK\r\n" + REST,
    "status 600": b"HTTP/1.1 600 OK\r\n" + REST,
    "status 999": b"HTTP/1.1 999 OK\r\n" + REST,
    "status of two digits": b"HTTP/1.1 20 OK\r\n" + REST,
    "status of four digits": b"HTTP/1.1 2000 OK\r\n" + REST,
    "version 2": b"HTTP/2.0 200 OK\r\n" + REST,
    "version 0.9": b"HTTP/0.9 200 OK\r\n" + REST,
    "control byte in the reason": b"HTTP/1.1 200 O\x01K\r\n" + REST,
    "blank before a name": OK + b"X-A: b\r\n X-C: d\r\n" + REST,
    "tab before a name": OK + b"X-A: b\r\n\tX-C: d\r\n" + REST,
    "folded seal": OK + IDS + b"X-Response-Seal: s\r\n t\r\nContent-Length: 2\r\n\r\n{}",
    "blank before the first name": OK + b" X-A: b\r\n" + REST,
    "blank before the colon": OK + b"X-A : b\r\n" + REST,
    "blank in a name": OK + b"X A: b\r\n" + REST,
    "no name": OK + b": b\r\n" + REST,
    "no colon": OK + b"X-A\r\n" + REST,
    "high byte in a name": OK + b"X\xa0A: b\r\n" + REST,
    "bare CR in a name": OK + b"X\rA: b\r\n" + REST,
    "bare CR in a value": OK + b"X-A: b\rc\r\n" + REST,
    "two framings": OK + b"Transfer-Encoding: chunked\r\n" + REST,
    "empty line before": b"\r\n" + OK + REST,
    **{
        f"control byte {byte} in a name": OK + b"X-%cA: b\r\n" % byte + REST
        for byte in (0, 1, 8, 9, 11, 12, 31, 127)
    },
    **{
        f"control byte {byte} in a value": OK + b"X-A: b%cc\r\n" % byte + REST
        for byte in (0, 1, 8, 11, 12, 27, 31, 127)
    },
}
GOOD = {
    "plain": OK + REST,
    "no reason": b"HTTP/1.1 200\r\n" + REST,
    "empty reason": b"HTTP/1.1 200 \r\n" + REST,
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + REST,
    "informational first": b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + OK + REST,
    "odd tokens": OK + b"!#$%&'*+-.^_`|~1aZ: v\r\n" + REST,
    "tab and high bytes in a value": OK + b"X-A: b\tc\xe9\r\nX-E:\r\nX-O: \r\n" + REST,
    "colons in a value": OK + b"X-A::b:c\r\n" + REST,
    "line feeds alone": (OK + REST).replace(b"\r\n", b"\n"),
}
REQUEST = OutgoingRequest(b"a1", "GET", "/x", [(b"host", b"h"), (b"x-attempt-id", b"a1")], b"")


def run_with(head: bytes, test: Callable[[BackendAddress], Awaitable[None]]) -> None:
    """Run a test with a server that answers each connection with the same bytes."""

    async def script(stream: ScriptedStream) -> None:
        await stream.request()
        await stream.send(head)
        await stream.request()

    async def run() -> None:
        with trio.fail_after(LIMIT_S):
            async with scripted_server(script) as address:
                await test(address)

    trio.run(run)


class HeadCheckTest(unittest.TestCase):
    def test_invalid_heads_are_rejected_however_they_arrive(self) -> None:
        """Guards against a head that passes since it is checked before it is whole."""
        for name, data in BAD.items():
            for size in (1, 7, len(data)):
                with self.subTest(name, size=size), self.assertRaises(InvalidHead):
                    self.feed(data, size)

    def test_valid_heads_are_accepted_however_they_arrive(self) -> None:
        for name, data in GOOD.items():
            for size in (1, 7, len(data)):
                with self.subTest(name, size=size):
                    self.feed(data, size)

    def test_body_is_not_checked(self) -> None:
        """Guards against bodies that are taken for heads."""
        self.feed(OK + REST + b"\x00 \r\n\r\n: \x01\r\n\r\n", 5)

    def test_head_without_end_is_rejected(self) -> None:
        """Guards against memory for a head without end."""
        with self.assertRaises(InvalidHead):
            self.feed(OK + b"X-A: " + b"b" * 1_000_000, 4096)

    def feed(self, data: bytes, size: int) -> None:
        check = HeadCheck()
        for begin in range(0, len(data), size):
            check.feed(data[begin : begin + size])


class ReadersTest(unittest.TestCase):
    """Each subject reads the same heads."""

    def check(
        self,
        read: Callable[[BackendAddress], Awaitable[bool]],
        *,
        good: Mapping[str, bytes] = MappingProxyType(GOOD),
    ) -> None:
        """Check a function that says whether a response was accepted."""
        for heads, accepted in ((good, True), (BAD, False)):
            for name, data in heads.items():
                with self.subTest(name):

                    async def test(address: BackendAddress, accepted: bool = accepted) -> None:
                        self.assertIs(await read(address), accepted)

                    run_with(data, test)

    def test_exchanges(self) -> None:
        """Guards against callers who are given what is no response."""

        async def read(address: BackendAddress) -> bool:
            connection = BackendConnection(stream=await open_stream(address), names=HEADER_NAMES)
            try:
                reply = await connection.exchange(REQUEST)
            except ExchangeFailed as error:
                self.assertIs(error.verdict, Verdict.MAY_HAVE_RUN)
                self.assertIs(error.reason, FailureReason.BAD_RESPONSE)
                return False
            finally:
                await connection.close()
            self.assertEqual((reply.status, reply.body), (200, b"{}"))
            return True

        self.check(read)

    def test_exchanges_of_the_own_interface(self) -> None:
        """Guards against the same on the product's own interface."""
        request = BackendRequest(
            request_id="a1",
            method="GET",
            target="/x",
            headers=[],
            body=None,
            deadline_s=5.0,
            idempotent=True,
            echoes_request_id=True,
        )

        async def read(address: BackendAddress) -> bool:
            async with HttpBackends().exchange(address, request) as answered:
                if isinstance(answered, Err):
                    self.assertIs(answered.err_value.verdict, Verdict.MAY_HAVE_RUN)
                    return False
                return b"".join([part async for part in answered.ok_value.body]) == b"{}"

        self.check(read)

    def test_calls_of_the_platform(self) -> None:
        """Guards against a state of the store that it has not sent."""

        async def read(address: BackendAddress) -> bool:
            calls = ObjectCalls(addresses=[address], timeout_s=5.0)
            outcome = await calls.read(Call("GET", "/x"))
            await calls.aclose()
            return isinstance(outcome, Ok)

        self.check(read)

    def test_caller_library(self) -> None:
        """Guards against programs that are given what is no response of an entry."""
        outgoing = Outgoing("GET", "/x", [], b"")

        async def read(address: BackendAddress) -> bool:
            exchanges = Exchanges(connect_timeout_s=1.0, idle_timeout_s=5.0)
            entry = EntryAddress(*address)
            reply = await exchanges.exchange(entry, outgoing, until=trio.current_time() + 5.0)
            await exchanges.aclose()
            # The request id is drawn anew, so a response that is read belongs to another request.
            return not isinstance(reply, FailedExchange) or reply.reason == "crossed-answer"

        self.check(read)

    def test_opening_of_a_relayed_connection(self) -> None:
        """Guards against an opening that no relay has answered."""

        async def read(address: BackendAddress) -> bool:
            stream = await open_stream(address)
            try:
                await stream.send_all(b"CONNECT x HTTP/1.1\r\n\r\n")
                await read_answer(stream)
            except InvalidOpening as error:
                # A relay sends nothing behind its answer before it is asked.
                return "before a request" in str(error)
            finally:
                await trio.aclose_forcefully(stream)
            return True

        # A relay sends no informational responses.
        good = {name: data for name, data in GOOD.items() if name != "informational first"}
        self.check(read, good=good)


class SkippedResponseTest(unittest.TestCase):
    def test_head_behind_a_skipped_response_is_checked(self) -> None:
        """Guards against a bad head that arrives with a response to another request."""
        other = (OK + REST).replace(b"a1", b"a9")
        for name, data in BAD.items():
            with self.subTest(name):

                async def test(address: BackendAddress) -> None:
                    connection = BackendConnection(
                        stream=await open_stream(address), names=HEADER_NAMES
                    )
                    with self.assertRaises(ExchangeFailed):
                        await connection.exchange(REQUEST)
                    await connection.close()

                run_with(other + data, test)

    def test_connection_is_used_for_further_requests(self) -> None:
        """Guards against a check that only looks at the first response of a connection."""

        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(OK + REST)
            await stream.request()
            await stream.send(BAD["folded seal"])

        async def run() -> None:
            async with scripted_server(script) as address:
                connection = BackendConnection(
                    stream=await open_stream(address), names=HEADER_NAMES
                )
                self.assertIsInstance(await connection.exchange(REQUEST), BackendReply)
                with self.assertRaises(ExchangeFailed):
                    await connection.exchange(REQUEST)
                await connection.close()

        trio.run(run)


class EarlyEndTest(unittest.TestCase):
    def test_caller_library_takes_no_body_without_a_length(self) -> None:
        """Guards against a reset during an upload that looks like the end of the body."""

        async def script(stream: ScriptedStream) -> None:
            request = await stream.request()
            line = next(line for line in request.split(b"\r\n") if b"request-id" in line.lower())
            await stream.send(OK + line + b"\r\n\r\npart")

        async def run() -> None:
            async with scripted_server(script) as address:
                exchanges = Exchanges(connect_timeout_s=1.0, idle_timeout_s=5.0)
                reply = await exchanges.exchange(
                    EntryAddress(*address),
                    Outgoing("GET", "/x", [], b""),
                    until=trio.current_time() + 5.0,
                )
                await exchanges.aclose()
                assert isinstance(reply, FailedExchange), reply
                self.assertEqual((reply.sent, reply.reason), (True, "no-length"))

        trio.run(run)
