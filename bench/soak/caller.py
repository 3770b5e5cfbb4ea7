"""Callers that keep their connections open until the process is gone."""

from random import Random
from typing import Final, NamedTuple

import h11
import trio

from bench.soak.deployment import CALLER_PORT, FIRST_VERSION, HOST, Deployment, Instance
from bench.soak.findings import ANSWER_LIMIT_S, Asked, Findings

PAUSE_S: Final = 0.05
DEADLINE_MS: Final = "2000"
WRITE_PART: Final = 0.3
"""The part of the requests that may run once at most."""

PROBE_PART: Final = 0.4
PROBED_VERSIONS: Final = 4
"""The part of the requests that go to routes that were added last, and how many of these."""


class Drawn(NamedTuple):
    """A request to send; with the version that added its route, if it is a probe of that."""

    request_id: str
    method: str
    target: str
    version: int | None


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
        self._began_s = 0.0

    async def run(self) -> None:
        """Connect and send until cancelled."""
        while True:
            self._began_s = trio.current_time()
            try:
                with trio.fail_after(ANSWER_LIMIT_S):
                    stream = await trio.open_tcp_stream(self._instance.address, CALLER_PORT)
                async with stream:
                    await self._use(stream)
            except (OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
                self._findings.note_unserved(self._instance.number, self._began_s, repr(error))
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
        self._began_s = trio.current_time()
        drawn = self._draw(f"{self._name}-{self._sent}")
        instance = self._instance
        repeatable = drawn.method == "GET"
        asked = Asked(instance.number, instance.processes, self._began_s, repeatable)
        self._findings.asked[drawn.request_id] = asked
        await stream.send_all(encode_request(drawn, parser))
        try:
            with trio.fail_after(ANSWER_LIMIT_S):
                status, body = await read_answer(stream, parser)
        except trio.BrokenResourceError:
            self._findings.cut.add(drawn.request_id)
            raise
        self.check(drawn, status, body)
        if drawn.version is not None and status in (200, 404):
            self._findings.note_version(
                asked, drawn.version, served=status == 200, answered_s=trio.current_time()
            )

    def _draw(self, request_id: str) -> Drawn:
        if self._random.random() < PROBE_PART:
            age = self._random.randrange(PROBED_VERSIONS)
            version = max(FIRST_VERSION, self._world.version - age)
            return Drawn(request_id, "GET", f"/added-{version}/{request_id}", version)
        if self._random.random() < WRITE_PART:
            return Drawn(request_id, "POST", f"/write/{request_id}", None)
        return Drawn(request_id, "GET", f"/read/{request_id}", None)

    def check(self, drawn: Drawn, status: int, body: bytes) -> None:
        """Take note of an answer, and of what in it breaks a promise."""
        self._findings.statuses[status] += 1
        if status == 200 and body != f"{drawn.request_id} {drawn.target}".encode():
            self._findings.found.append(f"{drawn.request_id} got the answer {body!r}")
        if status == 503:
            self._findings.refused.add(drawn.request_id)
        if status == 503 and b"quarantined" in body:
            self._findings.found.append(f"{drawn.request_id}: {drawn.target} was shut out")
        if status == 404 and drawn.version is None:
            self._findings.found.append(f"{drawn.request_id}: 404 for {drawn.target}")


def encode_request(drawn: Drawn, parser: h11.Connection) -> bytes:
    """The bytes of a request, of which the parser is told."""
    headers = [("Host", HOST), ("X-Attempt-Id", drawn.request_id), ("X-Deadline-Ms", DEADLINE_MS)]
    if drawn.method == "POST":
        headers.append(("Content-Length", "0"))
    head = h11.Request(method=drawn.method, target=drawn.target, headers=headers)
    return (parser.send(head) or b"") + (parser.send(h11.EndOfMessage()) or b"")


async def read_answer(stream: trio.SocketStream, parser: h11.Connection) -> tuple[int, bytes]:
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
