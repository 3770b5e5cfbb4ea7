"""Exchanges with backend servers that answer wrongly: what counts as an answer, and the verdict."""

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
    OutgoingRequest,
    open_connection,
)
from wagtailpoint.verdict import Verdict

LIMIT_S = 20
OWN = "X-Attempt-Id: a1"


def outgoing(request_id: str = "a1", *, body: bytes = b"", method: str = "GET") -> OutgoingRequest:
    headers = [(b"host", b"h"), (b"x-attempt-id", request_id.encode())]
    return OutgoingRequest(request_id.encode(), method, "/x", headers, body)


def exchange_all(script, *requests: OutgoingRequest) -> list[BackendReply | ExchangeFailed]:
    """The outcomes of requests sent one after the other on one connection."""
    outcomes: list[BackendReply | ExchangeFailed] = []

    async def run() -> None:
        with trio.fail_after(LIMIT_S):
            async with scripted_server(script) as address:
                connection = await open_connection(address, HEADER_NAMES)
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
    def test_whole_answer_is_ours(self) -> None:
        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"hello", OWN, "X-Server-Load: 1,0,3"))
            await stream.request()

        (reply,) = exchange_all(script, outgoing())
        assert isinstance(reply, BackendReply)
        self.assertEqual((reply.status, reply.body, reply.not_run), (200, b"hello", False))
        self.assertIn((b"x-server-load", b"1,0,3"), reply.headers)

    def test_late_answer_to_another_request_is_stepped_over(self) -> None:
        """Symptom: a caller gets another caller's answer.

        A backend server answers a request twice; the second answer arrives where the answer to the
        next request on the connection is awaited. Only the id tells them apart.
        """

        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"first", OWN))
            await stream.request()
            await stream.send(response(b"first again", OWN) + response(b"mine", "X-Attempt-Id: a2"))
            await stream.request()

        _, reply = exchange_all(script, outgoing(), outgoing("a2"))
        assert isinstance(reply, BackendReply)
        self.assertEqual(reply.body, b"mine")

    def test_answer_without_id_on_a_used_connection_is_not_trusted(self) -> None:
        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"first", OWN))
            await stream.request()
            await stream.send(response(b"whose?", "X-Not-Executed: 1", status="503 Full"))

        _, failed = exchange_all(script, outgoing(), outgoing("a2"))
        assert isinstance(failed, ExchangeFailed)
        self.assertIs(failed.verdict, Verdict.MAY_HAVE_RUN)

    def test_body_that_is_cut_is_no_answer(self) -> None:
        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"0123456789", OWN)[:-3])

        (failed,) = exchange_all(script, outgoing())
        assert isinstance(failed, ExchangeFailed)
        self.assertIs(failed.verdict, Verdict.MAY_HAVE_RUN)

    def test_body_without_length_is_whole_at_a_clean_end_only(self) -> None:
        """Symptom: half a certificate looks whole.

        A body that ends with its connection is whole if that was closed, and cut if it was reset.
        """

        async def clean(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(f"HTTP/1.1 200 OK\r\n{OWN}\r\n\r\nwhole".encode())

        async def reset(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(f"HTTP/1.1 200 OK\r\n{OWN}\r\n\r\nhalf".encode())
            await trio.sleep(0.05)
            await reset_connection(stream.stream)

        (whole,) = exchange_all(clean, outgoing())
        (cut,) = exchange_all(reset, outgoing())
        assert isinstance(whole, BackendReply)
        self.assertEqual(whole.body, b"whole")
        self.assertIsInstance(cut, ExchangeFailed)

    def test_bytes_that_are_no_answer(self) -> None:
        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(b"\x00\x01 garbage \r\n\r\n")

        (failed,) = exchange_all(script, outgoing())
        assert isinstance(failed, ExchangeFailed)
        self.assertIs(failed.reason, FailureReason.BAD_RESPONSE)

    def test_connection_that_ends_without_an_answer_is_no_garbled_answer(self) -> None:
        """Guards against crashes of backend servers that look like nonsense from them."""

        async def closed(stream: ScriptedStream) -> None:
            await stream.request()

        async def reset(stream: ScriptedStream) -> None:
            await stream.request()
            await reset_connection(stream.stream)

        for script in (closed, reset):
            (failed,) = exchange_all(script, outgoing())
            assert isinstance(failed, ExchangeFailed)
            self.assertIs(failed.reason, FailureReason.RESET)

    def test_refusal_bears_its_mark(self) -> None:
        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"", OWN, "X-Not-Executed: 1", status="503 Full"))
            await stream.request()
            await stream.send(response(b"", "X-Attempt-Id: a2", status="421 Other"))
            await stream.request()
            await stream.send(response(b"", "X-Attempt-Id: a3", status="503 Own Fault"))
            await stream.request()

        replies = exchange_all(script, outgoing(), outgoing("a2"), outgoing("a3"))
        self.assertEqual([getattr(each, "not_run", None) for each in replies], [True, True, False])


class ReuseTest(unittest.TestCase):
    def reusable_after(self, script, request: OutgoingRequest) -> bool:
        found: list[bool] = []

        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with scripted_server(script) as address:
                    connection = await open_connection(address, HEADER_NAMES)
                    await exchange_once(connection, request)
                    connection.mark_idle()
                    await trio.sleep(0.05)
                    found.append(connection.is_reusable() and not connection.has_expired())
                    await connection.close()

        trio.run(run)
        return found[0]

    def test_clean_connection_is_used_again(self) -> None:
        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"hello", OWN))
            await stream.request()

        self.assertTrue(self.reusable_after(script, outgoing()))

    def test_bytes_behind_the_answer_poison_it(self) -> None:
        """Symptom: the next request on the connection is given them as its answer.

        They come in the same segment as the answer, or a moment later.
        """

        async def together(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"hello", OWN) + b"more")
            await stream.request()

        async def later(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(response(b"hello", OWN))
            await trio.sleep(0.01)
            await stream.send(response(b"hello", OWN))
            await stream.request()

        self.assertFalse(self.reusable_after(together, outgoing()))
        self.assertFalse(self.reusable_after(later, outgoing()))

    def test_early_answer_to_a_long_body_ends_the_connection(self) -> None:
        """Symptom: a backend server runs bytes of one request as another request.

        It answers before it has read a long body, and reads on later. Unless the connection ends,
        the next request stands where the rest of that body is due.
        """

        async def script(stream: ScriptedStream) -> None:
            await stream.stream.receive_some(1024)
            await stream.send(response(b"too long", OWN, status="413 Too Large"))
            await trio.sleep(0.5)

        long = outgoing(body=b"x" * 30_000_000, method="POST")
        self.assertFalse(self.reusable_after(script, long))
