"""Exchanges with misbehaving backend servers: which responses are accepted, and the verdicts."""

import unittest

import trio

from tests.common.scripted_server import ScriptedStream, response, scripted_server
from tests.common.sockets import reset_connection
from wagtailpoint.platform.header_names import HEADER_NAMES
from wagtailpoint.ports.backend import FailureReason
from wagtailpoint.proxy.backend_connection import (
    BackendConnection,
    BackendReply,
    ExchangeFailed,
)
from wagtailpoint.proxy.backend_dialer import open_stream
from wagtailpoint.proxy.request_encoding import OutgoingRequest
from wagtailpoint.verdict import Verdict

LIMIT_S = 20
OWN_ID = "X-Attempt-Id: a1"


def outgoing(request_id: str = "a1", *, body: bytes = b"", method: str = "GET") -> OutgoingRequest:
    headers = [(b"host", b"h"), (b"x-attempt-id", request_id.encode())]
    return OutgoingRequest(request_id.encode(), method, "/x", headers, body)


def exchange_all(script, *requests: OutgoingRequest) -> list[BackendReply | ExchangeFailed]:
    """Send requests sequentially on one connection and return their outcomes."""
    outcomes: list[BackendReply | ExchangeFailed] = []

    async def run() -> None:
        with trio.fail_after(LIMIT_S):
            async with scripted_server(script) as address:
                connection = BackendConnection(
                    stream=await open_stream(address), names=HEADER_NAMES
                )
                for request in requests:
                    outcomes.append(await exchange_once(connection, request))
                await connection.close()

    trio.run(run)
    return outcomes


async def exchange_once(connection: BackendConnection, request: OutgoingRequest):
    try:
        return await connection.exchange(request)
    except ExchangeFailed as failed:
        return failed


class AnswerTest(unittest.TestCase):
    def test_complete_response_is_accepted(self) -> None:
        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"hello", OWN_ID, "X-Server-Load: 1,0,3"))
            await stream.request()

        (reply,) = exchange_all(script, outgoing())
        assert isinstance(reply, BackendReply)
        self.assertEqual((reply.status, reply.body, reply.not_run), (200, b"hello", False))
        self.assertIn((b"x-server-load", b"1,0,3"), reply.headers)

    def test_response_to_another_request_is_skipped(self) -> None:
        """Guards against a caller receiving another caller's response.

        A backend server responds to a request twice, and the second response arrives while the
        response to the next request is awaited. Only the request id distinguishes them.
        """

        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"first", OWN_ID))
            await stream.request()
            await stream.send(
                response(b"first again", OWN_ID) + response(b"mine", "X-Attempt-Id: a2")
            )
            await stream.request()

        _, reply = exchange_all(script, outgoing(), outgoing("a2"))
        assert isinstance(reply, BackendReply)
        self.assertEqual(reply.body, b"mine")

    def test_response_without_id_on_a_used_connection_is_rejected(self) -> None:
        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"first", OWN_ID))
            await stream.request()
            await stream.send(response(b"whose?", "X-Not-Executed: 1", status="503 Full"))

        _, failed = exchange_all(script, outgoing(), outgoing("a2"))
        assert isinstance(failed, ExchangeFailed)
        self.assertIs(failed.verdict, Verdict.MAY_HAVE_RUN)

    def test_truncated_body_is_rejected(self) -> None:
        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"0123456789", OWN_ID)[:-3])

        (failed,) = exchange_all(script, outgoing())
        assert isinstance(failed, ExchangeFailed)
        self.assertIs(failed.verdict, Verdict.MAY_HAVE_RUN)

    def test_head_that_ends_early_is_rejected(self) -> None:
        """Guards against a 200 with an empty body when a backend server stops in its head."""
        for framing in ("Content-Length: 5", "Transfer-Encoding: chunked", "Server: x"):
            lines = ("HTTP/1.1 200 OK", OWN_ID, "X-Response-Seal: s", framing)
            head = "\r\n".join(lines).encode() + b"\r\n\r\n"
            for end in range(len(head)):
                for is_reset in (False, True):
                    with self.subTest(framing=framing, end=end, is_reset=is_reset):
                        self.check_rejected(head[:end], is_reset=is_reset)

    def check_rejected(self, data: bytes, *, is_reset: bool) -> None:
        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(data)
            if is_reset:
                await reset_connection(stream.stream)

        (failed,) = exchange_all(script, outgoing())
        assert isinstance(failed, ExchangeFailed), failed
        self.assertIs(failed.verdict, Verdict.MAY_HAVE_RUN)

    def test_body_without_length_is_complete_only_after_a_clean_close(self) -> None:
        """Guards against a truncated document being forwarded as complete.

        A body without a length ends with the connection: it is complete if the connection was
        closed, and truncated if it was reset.
        """

        async def clean(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(f"HTTP/1.1 200 OK\r\n{OWN_ID}\r\n\r\nwhole".encode())

        async def reset(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(f"HTTP/1.1 200 OK\r\n{OWN_ID}\r\n\r\nhalf".encode())
            await trio.sleep(0.05)
            await reset_connection(stream.stream)

        (whole,) = exchange_all(clean, outgoing())
        (cut,) = exchange_all(reset, outgoing())
        assert isinstance(whole, BackendReply)
        self.assertEqual(whole.body, b"whole")
        self.assertIsInstance(cut, ExchangeFailed)

    def test_invalid_response_is_rejected(self) -> None:
        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(b"\x00\x01 garbage \r\n\r\n")

        (failed,) = exchange_all(script, outgoing())
        assert isinstance(failed, ExchangeFailed)
        self.assertIs(failed.reason, FailureReason.BAD_RESPONSE)

    def test_connection_closed_without_response_is_a_reset(self) -> None:
        """Guards against reporting the crash of a backend server as an invalid response."""

        async def closed(stream: ScriptedStream) -> None:
            await stream.request()

        async def reset(stream: ScriptedStream) -> None:
            await stream.request()
            await reset_connection(stream.stream)

        for script in (closed, reset):
            (failed,) = exchange_all(script, outgoing())
            assert isinstance(failed, ExchangeFailed)
            self.assertIs(failed.reason, FailureReason.RESET)

    def test_not_run_is_derived_from_header_or_status(self) -> None:
        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"", OWN_ID, "X-Not-Executed: 1", status="503 Full"))
            await stream.request()
            await stream.send(response(b"", "X-Attempt-Id: a2", status="421 Other"))
            await stream.request()
            await stream.send(response(b"", "X-Attempt-Id: a3", status="503 Own Fault"))
            await stream.request()

        replies = exchange_all(script, outgoing(), outgoing("a2"), outgoing("a3"))
        self.assertEqual(
            [getattr(reply, "not_run", None) for reply in replies], [True, True, False]
        )


class ReuseTest(unittest.TestCase):
    def reusable_after(self, script, request: OutgoingRequest) -> bool:
        found: list[bool] = []

        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with scripted_server(script) as address:
                    connection = BackendConnection(
                        stream=await open_stream(address), names=HEADER_NAMES
                    )
                    await exchange_once(connection, request)
                    connection.mark_idle()
                    await trio.sleep(0.05)
                    found.append(connection.is_reusable() and not connection.has_expired())
                    await connection.close()

        trio.run(run)
        return found[0]

    def test_connection_is_reusable_after_a_complete_exchange(self) -> None:
        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"hello", OWN_ID))
            await stream.request()

        self.assertTrue(self.reusable_after(script, outgoing()))

    def test_bytes_after_the_response_prevent_reuse(self) -> None:
        """Guards against bytes after a response being taken for the response to the next request.

        The bytes arrive in the same segment as the response, or shortly afterwards.
        """

        async def together(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"hello", OWN_ID) + b"more")
            await stream.request()

        async def later(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"hello", OWN_ID))
            await trio.sleep(0.01)
            await stream.send(response(b"hello", OWN_ID))
            await stream.request()

        self.assertFalse(self.reusable_after(together, outgoing()))
        self.assertFalse(self.reusable_after(later, outgoing()))

    def test_early_response_to_a_long_body_prevents_reuse(self) -> None:
        """Guards against a backend server running part of a request body as another request.

        It responds before it has read a long body and continues reading later. If the connection
        were reused, the next request would be in the place of the rest of that body.
        """

        async def script(stream: ScriptedStream) -> None:
            await stream.stream.receive_some(1024)
            await stream.send(response(b"too long", OWN_ID, status="413 Too Large"))
            await trio.sleep(0.5)

        long = outgoing(body=b"x" * 30_000_000, method="POST")
        self.assertFalse(self.reusable_after(script, long))
