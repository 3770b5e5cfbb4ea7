"""Callers that look up instances, keep the answers and connections, and count first tries."""

import json
import math
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import h11
import trio

from tests.common.steering_group import CALLER_PORT, HOST, LOOKUP_PORT, Instance, send_get

MEAN_PAUSE_S = 0.1
DEADLINE_MS = 1200
ANSWER_LIMIT_S = 2.0
CONNECT_LIMIT_S = 1.0
WRITE_FRACTION = 0.25
LONG_TTL_FRACTION = 0.3
LONG_TTL_FACTOR = 3
"""This fraction of the callers keeps the answer to a lookup this many times as long."""


class Try(NamedTuple):
    """The first try of a request.

    Attributes:
        request_id: The id of the request.
        instance: The address of the instance that it was sent to.
        sent_s: When it was sent, by trio's clock.
        took_s: The time until its answer or failure, in seconds.
        status: The status of the answer; 0 for none.
        idempotent: Whether it may run more than once.
        retry_after: Whether the answer says when to come back.
    """

    request_id: str
    instance: str
    sent_s: float
    took_s: float
    status: int
    idempotent: bool
    retry_after: bool


class LookupCallers:
    """Callers of all failure domains; none avoids an instance because it failed it.

    Some never look up, and use the same instance and connection for as long as they can.

    Attributes:
        tries: All first tries, in the order of their ends.
        empty_lookups: The number of lookups that named no instance.
    """

    def __init__(self, *, instances: Sequence[Instance], random: Random) -> None:
        """Initialise the callers; ``run`` starts them."""
        self.tries: list[Try] = []
        self.empty_lookups = 0
        self._instances = instances
        self._random = random

    async def run(self, *, looking_up: int, staying: int) -> None:
        """Run callers until cancelled.

        Args:
            looking_up: The number of callers that look up instances.
            staying: The number of callers of each instance that never look up.
        """
        async with trio.open_nursery() as nursery:
            for number in range(looking_up):
                instance = self._instances[number % len(self._instances)]
                nursery.start_soon(self._run_one, f"c{number}", instance.failure_domain)
            for instance in self._instances:
                for number in range(staying):
                    nursery.start_soon(self._stay, f"s{instance.address}-{number}", instance)

    def first_tries(self, from_s: float, to_s: float) -> list[Try]:
        """Return the first tries that were sent in a period."""
        return [entry for entry in self.tries if from_s <= entry.sent_s < to_s]

    async def _run_one(self, name: str, failure_domain: str) -> None:
        factor = LONG_TTL_FACTOR if self._random.random() < LONG_TTL_FRACTION else 1
        number = 0
        while True:
            addresses, ttl_s = await self._look_up(failure_domain)
            expires_s = trio.current_time() + factor * ttl_s
            address = self._random.choice(addresses) if addresses else ""
            while addresses and trio.current_time() < expires_s:
                number = await self._use_connection(address, name, number, expires_s)
                # A new answer may name the instance again; the connection is then kept.
                if trio.current_time() >= expires_s:
                    addresses, ttl_s = await self._look_up(failure_domain)
                    expires_s = trio.current_time() + factor * ttl_s
                address = address if address in addresses else ""
                address = address or (self._random.choice(addresses) if addresses else "")
            await trio.sleep(MEAN_PAUSE_S)

    async def _stay(self, name: str, instance: Instance) -> None:
        number = 0
        while True:
            number = await self._use_connection(instance.address, name, number, math.inf)

    async def _look_up(self, failure_domain: str) -> tuple[list[str], float]:
        region = failure_domain.partition("-")[0]
        target = f"/api/resolve?Name={HOST}&Region={region}&Zone={failure_domain}"
        for instance in self._random.sample(list(self._instances), 3):
            with trio.move_on_after(CONNECT_LIMIT_S):
                status, body = await send_get(instance.address, LOOKUP_PORT, target)
                if status == 200:
                    answer = json.loads(body)
                    addresses = [entry.partition(":")[0] for entry in answer["Addresses"]]
                    self.empty_lookups += not addresses
                    return addresses, answer["TtlS"]
        return [], 0.0

    async def _use_connection(self, address: str, name: str, number: int, expires_s: float) -> int:
        """Send requests on one connection; return the number of the last one."""
        number += 1
        began = trio.current_time()
        try:
            with trio.fail_after(CONNECT_LIMIT_S):
                stream = await trio.open_tcp_stream(address, CALLER_PORT)
        except (OSError, trio.TooSlowError):
            self._record(f"{name}-{number}", address, began, 0, idempotent=True)
            await trio.sleep(MEAN_PAUSE_S)
            return number
        async with stream:
            parser = h11.Connection(h11.CLIENT)
            while trio.current_time() < expires_s:
                if not await self._send(stream, parser, address, f"{name}-{number}"):
                    break
                number += 1
                await trio.sleep(self._random.uniform(0.0, 2 * MEAN_PAUSE_S))
        return number

    async def _send(
        self, stream: trio.SocketStream, parser: h11.Connection, address: str, request_id: str
    ) -> bool:
        """Send a request; return whether the connection can be used again."""
        idempotent = self._random.random() >= WRITE_FRACTION
        began = trio.current_time()
        key = self._random.randrange(40)
        target = f"/look/{key}" if idempotent else f"/look/release/{key}"
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", request_id),
            ("X-Affinity-Key", str(key)),
            ("X-Deadline-Ms", str(DEADLINE_MS)),
        ]
        body = b"" if idempotent else b"released"
        if body:
            headers.append(("Content-Length", str(len(body))))
        method = "GET" if idempotent else "POST"
        status, retry_after = 0, False
        try:
            data = parser.send(h11.Request(method=method, target=target, headers=headers)) or b""
            data += parser.send(h11.Data(data=body)) or b""
            await stream.send_all(data + (parser.send(h11.EndOfMessage()) or b""))
            with trio.fail_after(ANSWER_LIMIT_S):
                status, retry_after = await _read_answer(stream, parser)
        except (trio.BrokenResourceError, trio.TooSlowError, h11.RemoteProtocolError):
            status = 0
        self._record(
            request_id, address, began, status, idempotent=idempotent, retry_after=retry_after
        )
        if not status or parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
            return False
        parser.start_next_cycle()
        return True

    def _record(
        self,
        request_id: str,
        address: str,
        began: float,
        status: int,
        *,
        idempotent: bool,
        retry_after: bool = False,
    ) -> None:
        took_s = trio.current_time() - began
        self.tries.append(Try(request_id, address, began, took_s, status, idempotent, retry_after))


async def _read_answer(stream: trio.SocketStream, parser: h11.Connection) -> tuple[int, bool]:
    status, retry_after = 0, False
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive_some())
        elif isinstance(event, h11.Response):
            status = event.status_code
            retry_after = any(name == b"retry-after" for name, _ in event.headers)
        elif isinstance(event, h11.EndOfMessage):
            return status, retry_after
        elif isinstance(event, h11.ConnectionClosed):
            raise trio.BrokenResourceError
