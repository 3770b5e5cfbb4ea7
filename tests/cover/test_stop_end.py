"""What becomes of open requests and connections when a planned stop ends the process."""

import trio

from tests.common.dispatcher_case import Backend, DispatcherCase, get, ok
from wagtailpoint.node_settings import Endpoint

LIMIT_S = 10.0
ANSWERED_AFTER_S = 0.5


class OpenRequestsTest(DispatcherCase):
    def end(self) -> None:
        """End a stop of the instance."""
        self.parts.stop_clock.begin(began_at=trio.current_time(), lasts_s=10.0)
        self.parts.stop_clock.end()
        self.parts.dispatcher.end_requests()

    def test_request_without_an_answer(self) -> None:
        """Guards against connections that end without an answer."""
        served = trio.Event()
        replies: list[bytes] = []

        async def send(endpoint: Endpoint) -> None:
            replies.append(await self.reply(endpoint, get("/r/sent")))

        def arrive(request: bytes) -> None:
            served.set()

        async def test(endpoint: Endpoint) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, endpoint)
                await served.wait()
                self.end()

        self.run_with({"i-1": Backend(arrive).script}, test)
        self.assertTrue(replies[0].startswith(b"HTTP/1.1 502 "), replies)

    def test_answered_request_that_waits_for_its_turn(self) -> None:
        """Guards against a refusal as not run of a request that has run."""
        replies = b""

        def answer(request: bytes) -> bytes | None:
            return None if b"/r/first" in request else ok(request)

        async def test(endpoint: Endpoint) -> None:
            nonlocal replies
            second = get("/r/second").replace(b"X-Attempt-Id: 1", b"X-Attempt-Id: 2")
            async with await trio.open_tcp_stream(*endpoint) as stream:
                await stream.send_all(get("/r/first") + second)
                await trio.sleep(ANSWERED_AFTER_S)
                self.end()
                with trio.move_on_after(1.0):
                    async for part in stream:
                        replies += bytes(part)

        backends = [Backend(answer), Backend(answer)]
        self.run_with({f"i-{n}": each.script for n, each in enumerate(backends)}, test)
        self.assertTrue(
            any(b"/r/second" in each for backend in backends for each in backend.requests)
        )
        self.assertIn(b" 502 ", replies)
        self.assertIn(b" 200 ", replies)

    def test_answer_that_arrives_as_the_process_ends(self) -> None:
        """Guards against an answer that is discarded because the process ends in that moment."""
        replies: list[bytes] = []
        record_answer = self.parts.placement.record_answer

        def end_and_record(*args: object) -> None:
            self.end()
            record_answer(*args)  # type: ignore[arg-type]

        self.parts.placement.record_answer = end_and_record  # type: ignore[method-assign,assignment]

        async def test(endpoint: Endpoint) -> None:
            replies.append(await self.reply(endpoint, get("/r/x")))

        self.run_with({"i-1": Backend(ok).script}, test)
        self.assertTrue(replies[0].startswith(b"HTTP/1.1 200 "), replies)
