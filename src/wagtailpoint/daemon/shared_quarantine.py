"""The quarantine of an instance, with what shares it: the peers and the store."""

from collections.abc import Sequence
from random import Random

from wagtailpoint.discovery.kind_state import KindState
from wagtailpoint.membership import Membership
from wagtailpoint.membership.duty import has_duty
from wagtailpoint.ports.peers import PeerAddress, Peers
from wagtailpoint.ports.platform import Platform
from wagtailpoint.quarantine.news import QuarantineNews
from wagtailpoint.quarantine.quarantine import Quarantine
from wagtailpoint.quarantine.stored import StoredQuarantine


class SharedQuarantine:
    """Requests that crash backend servers, as all instances and the store know them."""

    def __init__(
        self, *, peers: Peers, platform: Platform, membership: Membership, random: Random
    ) -> None:
        """Make it without any suspect.

        Args:
            peers: The links to the others.
            platform: The store.
            membership: Who is there.
            random: For the jitter.
        """
        self._membership = membership
        news = QuarantineNews(peers=peers, others=self._others)
        self._local = Quarantine(others=news)
        news.listen(self._local)
        self._stored = StoredQuarantine(
            platform=platform,
            quarantine=self._local,
            has_duty=lambda: has_duty(membership, "quarantine"),
            random=random,
        )

    @property
    def local(self) -> Quarantine:
        """What this instance knows."""
        return self._local

    @property
    def gauges(self) -> dict[str, float]:
        """Values of this moment, for the metrics."""
        return {
            "crash_suspects": self._local.suspects,
            "quarantined_requests": len(self._local.stored) + len(self._local.unstored),
        }

    def take_stored(self, state: KindState) -> None:
        """Take in what the store lists."""
        self._stored.take(state)

    async def run(self) -> None:
        """Keep the store up to date until cancelled."""
        await self._stored.run()

    def _others(self) -> Sequence[PeerAddress]:
        own = self._membership.own.address
        return [
            member.peer_address
            for member in self._membership.members()
            if member.state != "dead" and member.address != own
        ]
