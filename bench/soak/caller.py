"""Callers that keep their connections open until the process is gone."""

from random import Random
from typing import Final

import h11
import trio

from bench.soak.deployment import CALLER_PORT, FIRST_VERSION, HOST, Deployment, Instance
from bench.soak.findings import ANSWER_LIMIT_S, Asked, Findings

PAUSE_S: Final = 0.05
WRITE_PART: Final = 0.3
"""The part of the requests that may run once at most."""

PROBE_PART: Final = 0.4
PROBED_VERSIONS: Final = 4
"""The part of the requests that go to routes that were added last, and how many of these."""


class Caller:
    """Sends one request after the other to one instance, and checks each answer."""

    def __init__(
        self,
        *,
        name: str,
        instance: Instance,
        world: Deployment,
        findings: Findings,
        random: Random,
    ) -> None:
        """Make it; ``run`` starts it."""
        self._name = name
        self._instance = instance
        self._world = world
        self._findings = findings
        self._random = random
        self._sent = 0

    async def run(self) -> None:
        """Connect and send until cancelled."""
        while True:
            try:
                with trio.fail_after(ANSWER_LIMIT_S):
                    stream = await trio.open_tcp_stream(self._instance.address, CALLER_PORT)
                async with stream:
                    await self._use(stream)
            except (OSError, trio.TooSlowError, trio.BrokenResourceError):
                self._findings.statuses[0] += 1
            await trio.sleep(PAUSE_S)

    async def _use(self, stream: trio.SocketStream) -> None:
        parser = h11.Connection(h11.CLIENT)
        while True:
            await self._send_one(stream, parser)
            if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
                return
            parser.start_next_cycle()
            await trio.sleep(self._random.uniform(0.0, 2 * PAUSE_S))

    async def _send_one(self, stream: trio.SocketStream, parser: h11.Connection) -> None:
        self._sent += 1
        request_id = f"{self._name}-{self._sent}"
        version: int | None = None
        method, target = "GET", f"/read/{request_id}"
        if self._random.random() < PROBE_PART:
            age = self._random.randrange(PROBED_VERSIONS)
            version = max(FIRST_VERSION, self._world.version - age)
            target = f"/added-{version}/{request_id}"
        elif self._random.random() < WRITE_PART:
            method, target = "POST", f"/write/{request_id}"
        instance = self._instance
        asked = Asked(instance.number, instance.processes, trio.current_time(), method == "GET")
        self._findings.asked[request_id] = asked
        headers = [("Host", HOST), ("X-Attempt-Id", request_id), ("X-Deadline-Ms", "2000")]
        if method == "POST":
            headers.append(("Content-Length", "0"))
        head = parser.send(h11.Request(method=method, target=target, headers=headers)) or b""
        await stream.send_all(head + (parser.send(h11.EndOfMessage()) or b""))
        try:
            with trio.fail_after(ANSWER_LIMIT_S):
                status, body = await _answer(stream, parser)
        except trio.BrokenResourceError:
            self._findings.cut.add(request_id)
            raise
        self._check(request_id, target, status, body)
        if version is not None and status in (200, 404):
            self._findings.note_version(
                asked, version, served=status == 200, answered_s=trio.current_time()
            )

    def _check(self, request_id: str, target: str, status: int, body: bytes) -> None:
        self._findings.statuses[status] += 1
        if status == 200 and body != f"{request_id} {target}".encode():
            self._findings.found.append(f"{request_id} got the answer {body!r}")
        if status == 503:
            self._findings.refused.add(request_id)
        if status == 404 and not target.startswith("/added-"):
            self._findings.found.append(f"{request_id}: 404 for {target}")


async def _answer(stream: trio.SocketStream, parser: h11.Connection) -> tuple[int, bytes]:
    """The status and the whole body.

    Raises:
        trio.BrokenResourceError: The connection ended before that.
    """
    status, body = 0, b""
    while True:
        try:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await stream.receive_some())
                continue
        except h11.RemoteProtocolError as error:
            raise trio.BrokenResourceError from error
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return status, body
        else:
            raise trio.BrokenResourceError
