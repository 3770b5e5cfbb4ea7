"""Instances as real processes beside backend servers whose bytes never end."""

import unittest
from collections import Counter
from pathlib import Path

import trio
from loguru import logger

from tests.common.node_settings_file import server_document, unsplit_config_document
from tests.common.scripted_server import ScriptedStream, response, scripted_server
from tests.common.steering_group import (
    CALLER_PORT,
    HOST,
    Instance,
    all_return_status,
    steering_group,
    wait_until,
)
from tests.common.users_store import UsersStore
from tests.cover.test_endless_bytes import FORMS, Pourer

LIMIT_S = 120.0
CALLERS = 80
DEADLINE_MS = 1500
ASKED_S = 5.0
MAX_GROWTH_BYTES = 100_000_000
"""The callers' own requests and answers take a few megabytes; an instance may have 200 MB."""

MIN_SERVED_FRACTION = 0.9


async def answer_all(stream: ScriptedStream) -> None:
    while request := await stream.request():
        headers = dict(line.split(b": ", 1) for line in request.lower().split(b"\r\n")[1:-2])
        echoed = headers.get(b"x-attempt-id", b"").decode()
        await stream.send(response(b"sound", f"X-Attempt-Id: {echoed}"))


def resident_bytes(instance: Instance) -> int:
    pid = instance.process.pid
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("no VmRSS")


class EndlessBytesTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.statuses: Counter[int] = Counter()

    def test_memory_and_other_requests_beside_endless_bytes(self) -> None:
        """Guards against an instance that keeps endless bytes until it runs out of memory."""
        for name in ("before a status line", "headers", "in a body without a length", "chunks"):
            with self.subTest(name):
                self.statuses.clear()
                trio.run(self.check, Pourer(*FORMS[name], pause_s=0.0))

    async def check(self, pourer: Pourer) -> None:
        store = UsersStore()
        store.put("config", "main", unsplit_config_document())
        with trio.fail_after(LIMIT_S):
            async with (
                store.serve() as endpoint,
                scripted_server(pourer.script) as faulty,
                scripted_server(answer_all) as sound,
                steering_group(endpoint, 1) as (instance,),
            ):
                store.put("servers", "i-1", server_document(str(sound)))

                async def serves() -> bool:
                    return await all_return_status([instance], 200)

                await wait_until(serves, 20.0, "the instance serves")
                before = resident_bytes(instance)
                store.put("servers", "i-2", server_document(str(faulty)))
                most = 0
                async with trio.open_nursery() as nursery:
                    for number in range(CALLERS):
                        nursery.start_soon(self.ask, instance, f"c{number}")
                    for _ in range(int(ASKED_S / 0.05)):
                        await trio.sleep(0.05)
                        most = max(most, resident_bytes(instance))
                    nursery.cancel_scope.cancel()
                self.assertIsNone(instance.process.exit_code)
                self.assertGreater(pourer.requests, 0)
                self.assertLess(most - before, MAX_GROWTH_BYTES)
                served = self.statuses[200] / self.statuses.total()
                self.assertGreater(served, MIN_SERVED_FRACTION, self.statuses)
                self.assertEqual(await instance.status_of_valid_request(), 200)

    async def ask(self, instance: Instance, name: str) -> None:
        """Ask again and again, and read whatever comes until the deadline."""
        number = 0
        while True:
            number += 1
            with trio.move_on_after(DEADLINE_MS / 1000 + 0.5):
                try:
                    stream = await trio.open_tcp_stream(instance.address, CALLER_PORT)
                    async with stream:
                        await stream.send_all(
                            f"GET /look/{name} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
                            f"X-Attempt-Id: {name}-{number}\r\n"
                            f"X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
                        )
                        first = await stream.receive_some(65536)
                        self.statuses[int(first.split(b" ")[1]) if first else 0] += 1
                        while await stream.receive_some(65536):
                            pass
                except (OSError, trio.BrokenResourceError):
                    pass
