"""What backend servers announce in their responses, shared with the other instances."""

from collections.abc import Callable, Collection

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.discovery.leaving_broadcaster import LeavingBroadcaster
from wagtailpoint.limits.requested_backoff import RequestedBackoffs
from wagtailpoint.membership import Membership
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.platform.header_names import HEADER_NAMES
from wagtailpoint.ports.peers import Peers
from wagtailpoint.proxy.server_announcements import ServerAnnouncements
from wagtailpoint.relay.backoff_exchange import BackoffExchange


class SharedAnnouncements:
    """Constructs the parts that read announcements, hold what they say, and tell others."""

    def __init__(
        self, *, fleet: Fleet, peers: Peers, membership: Membership, metrics: Metrics
    ) -> None:
        """Initialise without any announcement.

        Args:
            fleet: Receives which backend servers leave.
            peers: Links to the other instances.
            membership: The known instances.
            metrics: Counts announcements.
        """
        self._leaving = LeavingBroadcaster(
            peers=peers, others=membership.others, record_leaving=fleet.record_leaving
        )
        self._fleet = fleet
        self.backoffs = RequestedBackoffs(metrics=metrics)
        self._exchange = BackoffExchange(backoffs=self.backoffs, peers=peers, membership=membership)
        self.local = ServerAnnouncements(
            backoffs=self.backoffs,
            record_leaving=self._leaving.record_announcement,
            tell_relay=self._exchange.tell_relay,
            names=HEADER_NAMES,
            metrics=metrics,
        )

    @property
    def gauges(self) -> dict[str, float]:
        """The current values of the gauges."""
        return {"backing_off_servers": self.backoffs.in_force}

    def tell_users(self, users_of_relay: Callable[[str], Collection[str]]) -> None:
        """Tell backoffs to the instances that use this one as a relay.

        Args:
            users_of_relay: Returns the addresses of those with a relayed connection, given the
                start of a backend server.
        """
        self._exchange.tell_users(users_of_relay)

    def may_ask(self, entry: ServerEntry) -> bool:
        """Return whether a backend server may be sent a health check."""
        return self._fleet.takes_work(entry) and self.backoffs.may_send(entry.start.key)

    async def run(self) -> None:
        """Tell the other instances what was announced until cancelled."""
        await self._leaving.run()
