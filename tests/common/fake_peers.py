"""Links between instances in memory that can be cut, with instances that can be frozen."""

import math
from collections.abc import Iterable
from itertools import product

import trio

from tests.common.fake_clock import TrioClock
from wagtailpoint.adapters.peer_dispatch import DispatchingPeers
from wagtailpoint.observe.hlc import HybridClock
from wagtailpoint.ports.peers import PeerAddress

LATENCY_S = 0.01


class FakeNetwork:
    """Delivers messages of all ``FakePeers``; holds those of frozen instances until they thaw."""

    def __init__(self) -> None:
        self._listening: dict[tuple[str, int], FakePeers] = {}
        self._cut: set[tuple[str, str]] = set()
        self._frozen: set[str] = set()
        self._kept: list[tuple[str, PeerAddress, bytes]] = []
        self.delivered_bytes = 0
        self._bytes_per_s: dict[str, float] = {}
        self._free_at: dict[str, float] = {}

    def narrow(self, address: str, *, mbps: float) -> None:
        """Limit the rate at which an address receives, to ``mbps`` Mbit/s."""
        self._bytes_per_s[address] = mbps * 125_000

    def cut(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Drop all messages from senders to receivers; the opposite direction still works."""
        self._cut |= set(product(senders, receivers))

    def cut_apart(self, some: Iterable[str], others: Iterable[str]) -> None:
        """Drop all messages between two sets of addresses, in both directions."""
        some, others = list(some), list(others)
        self.cut(some, others)
        self.cut(others, some)

    def heal(self) -> None:
        self._cut.clear()

    def freeze(self, address: str) -> None:
        """Hold all messages to and from an address."""
        self._frozen.add(address)

    def thaw(self, address: str) -> None:
        """Deliver the held messages of an address."""
        self._frozen.discard(address)
        kept, self._kept = self._kept, []
        for sender, to, data in kept:
            self.carry(sender, to, data)

    def listen(self, peers: "FakePeers") -> None:
        self._listening[(peers.address.address, peers.address.port)] = peers

    def close(self, peers: "FakePeers") -> None:
        key = (peers.address.address, peers.address.port)
        if self._listening.get(key) is peers:
            del self._listening[key]

    def carry(self, sender: str, to: PeerAddress, data: bytes) -> None:
        if sender in self._frozen or to.address in self._frozen:
            self._kept.append((sender, to, data))
        elif (sender, to.address) not in self._cut:
            listener = self._listening.get((to.address, to.port))
            if listener is not None:
                free_at = max(trio.current_time(), self._free_at.get(to.address, 0.0))
                free_at += len(data) / self._bytes_per_s.get(to.address, math.inf)
                self._free_at[to.address] = free_at
                listener.inbox.send_nowait((free_at + LATENCY_S, data))
                self.delivered_bytes += len(data)


class FakePeers(DispatchingPeers):
    """Implements ``wagtailpoint.ports.peers.Peers`` on a ``FakeNetwork``."""

    def __init__(self, *, network: FakeNetwork, address: PeerAddress) -> None:
        super().__init__(address=address, clock=HybridClock(wall=TrioClock().wall))
        self._network = network
        self.inbox, self._arriving = trio.open_memory_channel[tuple[float, bytes]](100_000)

    async def run(self) -> None:
        self._network.listen(self)
        try:
            async for due_at, data in self._arriving:
                await trio.sleep_until(due_at)
                self._receive(data)
        finally:
            self._network.close(self)

    def _transmit(self, to: PeerAddress, data: bytes) -> bool:
        self._network.carry(self.address.address, to, data)
        return True
