"""A stand-in for a client, which asks the directory and sends one request after the other."""

import asyncio
import random
import time
from typing import NamedTuple

from common.deployment import HOST, ZONES, Deployment, Instance, resolve
from common.http import Response, encode_request, read_response
from common.record import Record

TTL_S = 2.0
DEADLINE_S = 1.5
CONNECT_TIMEOUT_S = 1.0
OBJECTS = 200


class Result(NamedTuple):
    """One attempt.

    Attributes:
        attempt: Its id.
        instance: The instance that it was sent to.
        sent_at: When, by the steady clock.
        status: The status of the answer; 0 without one.
        cut: Whether the connection ended without an answer.
        kept: Whether the connection had carried an answer before.
        body: The body of the answer.
    """

    attempt: str
    instance: str
    sent_at: float
    status: int
    cut: bool
    kept: bool
    body: bytes


class Client:
    """Sends requests on a connection that it keeps, as long as the directory names its address."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        record: Record,
        zone: str,
        instance: Instance | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        self._deployment = deployment
        self._record = record
        self._zone = zone
        self._only = instance
        self._headers = headers or {}
        self._addresses: list[tuple[str, int]] = []
        self._known_until = 0.0
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._peer: tuple[str, int] = ("", 0)
        self._has_answered = False
        self.results: list[Result] = []

    async def run(self, method: str, prefix: str, *, until: float, gap_s: float) -> None:
        """Send requests for random objects until a time of the steady clock."""
        await asyncio.sleep(random.uniform(0.0, gap_s))
        while time.monotonic() < until:
            await self.request(method, f"{prefix}{random.randrange(OBJECTS)}")
            await asyncio.sleep(random.uniform(0.5, 1.5) * gap_s)
        self.drop()

    async def request(self, method: str, path: str) -> Result | None:
        """Send one attempt and wait for its answer; None if no connection could be opened."""
        await self._resolve()
        if not await self._connect():
            return None
        assert self._stream is not None
        reader, writer = self._stream
        attempt = f"{random.getrandbits(64):016x}"
        sent = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(int(1000 * DEADLINE_S)),
            **self._headers,
        }
        body = b"{}" if method == "POST" else b""
        sent_at, kept = time.monotonic(), self._has_answered
        self._record.add(
            "sent", attempt=attempt, to=self._peer[0], method=method, path=path, kept=kept
        )
        answer, cut = None, False
        try:
            async with asyncio.timeout(DEADLINE_S + 1.0):
                writer.write(encode_request(method, path, sent, body))
                answer = await read_response(reader)
                cut = answer is None
        except TimeoutError:
            pass
        except OSError:
            cut = True
        self._after(answer)
        result = Result(
            attempt,
            self._peer[0],
            sent_at,
            answer.status if answer else 0,
            cut,
            kept,
            answer.body if answer else b"",
        )
        self.results.append(result)
        shown = result.body.strip()[:60]
        self._record.add("answered", attempt=attempt, status=result.status, cut=cut, body=shown)
        return result

    def _after(self, answer: Response | None) -> None:
        if answer is None or "close" in answer.headers.get("connection", ""):
            self.drop()
        else:
            self._has_answered = True

    def drop(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream[1].close()
        self._stream, self._has_answered = None, False

    async def _connect(self) -> bool:
        if self._stream is not None:
            is_named = self._peer in self._addresses or not self._addresses
            if is_named and not self._stream[0].at_eof():
                return True
            self.drop()
        if not self._addresses:
            return False
        self._peer = random.choice(self._addresses)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._stream = await asyncio.open_connection(*self._peer)
        except (OSError, TimeoutError):
            self._record.add("no-connection", to=self._peer[0])
            self._addresses = [each for each in self._addresses if each != self._peer]
            return False
        return True

    async def _resolve(self) -> None:
        if self._only is not None:
            self._addresses = [(self._only.address, self._only.front)]
            return
        if time.monotonic() < self._known_until:
            return
        self._known_until = time.monotonic() + TTL_S
        near = sorted(
            self._deployment.instances,
            key=lambda each: (each.zone != self._zone, ZONES[each.zone] != ZONES[self._zone]),
        )
        for instance in near[:3]:
            found = await resolve(instance, self._zone)
            if found:
                self._addresses = found
                return
