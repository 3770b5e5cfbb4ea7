"""Polls the platform's list of instances, which hints where members can be reached."""

from collections.abc import Sequence
from random import Random

import trio
from result import Ok

from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import ListedInstance, Platform

POLL_INTERVAL_S = 30.0
INITIAL_POLL_INTERVAL_S = 2.0


class InstanceList:
    """Holds the newest list of instances from the platform.

    The list lags behind, and is kept while the platform is unavailable.
    """

    def __init__(self, *, platform: Platform, peer_port: int, random: Random) -> None:
        """Initialise an empty list.

        Args:
            platform: Provides the list.
            peer_port: Port for messages between instances, which the list does not contain.
            random: Source of the jitter.
        """
        self._platform = platform
        self._peer_port = peer_port
        self._random = random
        self._listed: Sequence[ListedInstance] = ()

    def addresses(self) -> Sequence[PeerAddress]:
        """Return the peer addresses of the listed instances."""
        return [PeerAddress(instance.address, self._peer_port) for instance in self._listed]

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            listed = await self._platform.instances()
            if isinstance(listed, Ok):
                self._listed = listed.ok_value
            interval_s = POLL_INTERVAL_S if self._listed else INITIAL_POLL_INTERVAL_S
            await trio.sleep(interval_s * self._random.uniform(0.5, 1.5))
