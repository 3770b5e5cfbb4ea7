"""Callers that keep a connection until its instance closes it, and record each request's end."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import h11
import trio

from tests.common.steering_group import CALLER_PORT, HOST

MAX_PAUSE_S = 0.1
CONNECT_LIMIT_S = 1.0
ANSWER_LIMIT_S = 12.0
WRITE_FRACTION = 0.5
READ_BYTES = 64 * 1024


class Exchange(NamedTuple):
    """A request and its end as the caller saw it.

    Attributes:
        request_id: The id of the request.
        instance: The address of the instance that it was sent to.
        idempotent: Whether it may run more than once.
        sent_s: When it was sent, by trio's clock.
        ended_s: When its answer was complete or its connection ended, by trio's clock.
        status: The status of the answer; 0 if there was no complete one.
        retry_after: Whether the answer says when to retry.
        closes: Whether the answer announces the end of the connection.
    """

    request_id: str
    instance: str
    idempotent: bool
    sent_s: float
    ended_s: float
    status: int
    retry_after: bool
    closes: bool


class CallerHabits(NamedTuple):
    """What callers ask for, and how.

    Attributes:
        min_work_s: The least time of work that a request asks for, in seconds.
        max_work_s: The greatest one.
        read_bytes_per_s: How fast callers read; None for no limit.
        pipelined: The number of idempotent requests that are sent at once.
    """

    min_work_s: float
    max_work_s: float
    read_bytes_per_s: float | None = None
    pipelined: int = 1


class StayingCallers:
    """Callers that use one instance, and open a new connection there as long as it accepts one.

    A caller whose instance accepts none goes on with another.

    Attributes:
        exchanges: All requests that have ended, in the order of their ends.
    """

    def __init__(self, *, addresses: Sequence[str], habits: CallerHabits, random: Random) -> None:
        """Initialise the callers; ``run`` starts them."""
        self.exchanges: list[Exchange] = []
        self._addresses = addresses
        self._habits = habits
        self._random = random
        self._stopping = False

    def change_habits(self, habits: CallerHabits) -> None:
        """Ask for other work from now on."""
        self._habits = habits

    def stop(self) -> None:
        """Send no further requests; the open ones go on."""
        self._stopping = True

    def exchanges_at(self, address: str) -> list[Exchange]:
        """Return the requests that were sent to an instance."""
        return [exchange for exchange in self.exchanges if exchange.instance == address]

    async def run(self, *, callers: int) -> None:
        """Run callers, in turn at each instance, until they are stopped and all have ended."""
        async with trio.open_nursery() as nursery:
            for number in range(callers):
                nursery.start_soon(self._run_one, f"s{number}", number % len(self._addresses))

    async def _run_one(self, name: str, first: int) -> None:
        connections, place = 0, first
        while not self._stopping:
            address = self._addresses[place]
            connections += 1
            try:
                with trio.fail_after(CONNECT_LIMIT_S):
                    stream = await trio.open_tcp_stream(address, CALLER_PORT)
            except (OSError, trio.TooSlowError):
                place = (place + 1) % len(self._addresses)
                await trio.sleep(MAX_PAUSE_S)
                continue
            async with stream:
                await self._use(stream, address, f"{name}-{connections}")

    async def _use(self, stream: trio.SocketStream, address: str, name: str) -> None:
        sent = 0
        while not self._stopping:
            idempotent = self._habits.pipelined > 1 or self._random.random() >= WRITE_FRACTION
            ids = [f"{name}-{sent + number}" for number in range(self._habits.pipelined)]
            sent += len(ids)
            if not await self._exchange_all(stream, address, ids, idempotent=idempotent):
                return
            await trio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))

    async def _exchange_all(
        self, stream: trio.SocketStream, address: str, ids: Sequence[str], *, idempotent: bool
    ) -> bool:
        """Send requests at once and read their answers; return whether the connection goes on."""
        sent_s = trio.current_time()
        answered, closes, received = 0, False, b""
        try:
            await stream.send_all(b"".join(self._encode(each, idempotent) for each in ids))
            for position, request_id in enumerate(ids):
                with trio.fail_after(ANSWER_LIMIT_S):
                    status, headers, received = await self._read_answer(stream, received)
                closes = headers.get(b"connection") == b"close"
                self._record(request_id, address, idempotent, sent_s, status, headers)
                answered = position + 1
                if closes:
                    break
        except (OSError, trio.BrokenResourceError, trio.TooSlowError, h11.RemoteProtocolError):
            closes = True
        for request_id in ids[answered:]:
            self._record(request_id, address, idempotent, sent_s, 0, {})
        return not closes

    def _encode(self, request_id: str, idempotent: bool) -> bytes:
        work_ms = int(1000 * self._random.uniform(self._habits.min_work_s, self._habits.max_work_s))
        path = "/look" if idempotent else "/look/release"
        body = b"" if idempotent else b"released"
        lines = [
            f"{'GET' if idempotent else 'POST'} {path}/slow-{work_ms}/{request_id} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {request_id}",
            "X-Deadline-Ms: 10000",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def _read_answer(
        self, stream: trio.SocketStream, received: bytes
    ) -> tuple[int, dict[bytes, bytes], bytes]:
        """Read one answer; return its status, its headers and the bytes after it.

        Raises:
            trio.BrokenResourceError: The connection ended before the end of the answer.
        """
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/", headers=[("Host", HOST)]))
        parser.send(h11.EndOfMessage())
        if received:
            parser.receive_data(received)
        status, headers = 0, dict[bytes, bytes]()
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = await self._receive(stream)
                if not data:
                    raise trio.BrokenResourceError
                parser.receive_data(data)
            elif isinstance(event, h11.Response):
                status, headers = event.status_code, dict(event.headers)
            elif isinstance(event, h11.EndOfMessage):
                return status, headers, parser.trailing_data[0]

    async def _receive(self, stream: trio.SocketStream) -> bytes:
        data = bytes(await stream.receive_some(READ_BYTES))
        if self._habits.read_bytes_per_s is not None:
            await trio.sleep(len(data) / self._habits.read_bytes_per_s)
        return data

    def _record(
        self,
        request_id: str,
        address: str,
        idempotent: bool,
        sent_s: float,
        status: int,
        headers: dict[bytes, bytes],
    ) -> None:
        self.exchanges.append(
            Exchange(
                request_id=request_id,
                instance=address,
                idempotent=idempotent,
                sent_s=sent_s,
                ended_s=trio.current_time(),
                status=status,
                retry_after=b"retry-after" in headers,
                closes=headers.get(b"connection") == b"close",
            )
        )
