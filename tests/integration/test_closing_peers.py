"""An instance whose peers close their connections while it sends to them."""

import time
import unittest
from functools import partial
from random import Random

import trio

from tests.common.processes import ModuleProcess

PORT = 7400
PEERS = 20
CONNECTIONS = 2000
LIMIT_S = 120.0
PULL_PROTOCOL_HEADER = b"\0SP\0\0\x51\0\0"
"""The first bytes of a connection in nng's transport for TCP; 0x51 is the protocol of a puller."""

FILL_FREED_MEMORY = {"MALLOC_PERTURB_": "170"}
"""Makes the allocator overwrite freed memory, so that most uses of it crash at once."""


class ClosingPeersTest(unittest.TestCase):
    def setUp(self) -> None:
        random = Random()
        prefix = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.own = f"{prefix}.1"
        self.others = [f"{prefix}.{number}" for number in range(2, 2 + PEERS)]
        self.connections = 0

    async def close_at_first_message(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        async with stream:
            try:
                await stream.receive_some(len(PULL_PROTOCOL_HEADER))
                await stream.send_all(PULL_PROTOCOL_HEADER)
                await stream.receive_some(1000)
            except trio.BrokenResourceError:
                return

    def wait_for_connections(self, sender: ModuleProcess) -> None:
        end_s = time.monotonic() + LIMIT_S
        while self.connections < CONNECTIONS and sender.exit_code is None:
            self.assertLess(time.monotonic(), end_s, f"{self.connections} connections")
            time.sleep(0.05)

    def test_sender_outlives_connections_closed_during_sends(self) -> None:
        """Guards against a send over memory that nng freed with a closed connection."""

        async def main(sender: ModuleProcess) -> None:
            async with trio.open_nursery() as nursery:
                for address in self.others:
                    nursery.start_soon(
                        partial(trio.serve_tcp, self.close_at_first_message, PORT, host=address)
                    )
                await trio.to_thread.run_sync(self.wait_for_connections, sender)
                nursery.cancel_scope.cancel()

        with ModuleProcess(
            module="tests.common.link_sender",
            arguments=[self.own, str(PORT), *self.others],
            environment=FILL_FREED_MEMORY,
        ) as sender:
            trio.run(main, sender)
            self.assertIsNone(sender.exit_code, sender.log)
