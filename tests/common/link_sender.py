"""A process that sends messages over its links to peers, again and again, until it is ended.

python -m tests.common.link_sender ADDRESS PORT PEER_ADDRESS...
"""

import faulthandler
import sys
from typing import NamedTuple

import trio

from wagtailpoint.adapters.clock import SystemClock
from wagtailpoint.adapters.peers_nng import NngPeers
from wagtailpoint.observe.hlc import HybridClock
from wagtailpoint.ports.peers import PeerAddress, register_message

SEND_INTERVAL_S = 0.001


class Filler(NamedTuple):
    """A message without meaning."""

    text: str


async def send_forever(own: PeerAddress, others: list[PeerAddress]) -> None:
    """Send a message to each of the others in every interval."""
    clock = SystemClock()
    peers = NngPeers(address=own, hybrid_clock=HybridClock(wall=clock.wall), clock=clock)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(peers.run)
        while True:
            for other in others:
                peers.send(other, Filler(text="x" * 200))
            await trio.sleep(SEND_INTERVAL_S)


if __name__ == "__main__":
    faulthandler.enable()
    register_message("test-filler", Filler)
    address, port, *addresses = sys.argv[1:]
    trio.run(
        send_forever,
        PeerAddress(address, int(port), 1),
        [PeerAddress(other, int(port)) for other in addresses],
    )
