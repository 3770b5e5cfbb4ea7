"""Reads the platform's list of instances now and then, as a hint where members may be found."""

from collections.abc import Sequence
from random import Random

import trio
from result import Ok

from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import ListedInstance, Platform

POLL_INTERVAL_S = 30.0
INITIAL_POLL_INTERVAL_S = 2.0


class InstanceList:
    """The newest list that the platform gave; it lags, and is kept while the platform is out."""

    def __init__(self, *, platform: Platform, peer_port: int, random: Random) -> None:
        """Make an empty list.

        Args:
            platform: Is asked.
            peer_port: Where listed instances hear their peers; the list does not say it.
            random: For the jitter.
        """
        self._platform = platform
        self._peer_port = peer_port
        self._random = random
        self._listed: Sequence[ListedInstance] = ()

    def addresses(self) -> Sequence[PeerAddress]:
        """Where to look for members."""
        return [PeerAddress(instance.address, self._peer_port) for instance in self._listed]

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            listed = await self._platform.instances()
            if isinstance(listed, Ok):
                self._listed = listed.ok_value
            interval_s = POLL_INTERVAL_S if self._listed else INITIAL_POLL_INTERVAL_S
            await trio.sleep(interval_s * self._random.uniform(0.5, 1.5))
