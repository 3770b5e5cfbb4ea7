"""The limits that backend servers state, kept together with the other instances."""

from collections.abc import Callable
from random import Random

from wagtailpoint.discovery.instance_count import InstanceCount
from wagtailpoint.limits.bound_senders import BoundSenders
from wagtailpoint.limits.limit_exchange import LimitExchange
from wagtailpoint.limits.limit_pacing import LimitPacing
from wagtailpoint.limits.stated_limit import StatedLimits
from wagtailpoint.membership import Membership
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.ports.peers import Peers


class ServerLimits:
    """Learns limits from answers and peers, and paces this instance's requests by them."""

    def __init__(
        self,
        *,
        peers: Peers,
        membership: Membership,
        is_known: Callable[[str], bool],
        count_senders: Callable[[str, str, int], int],
        metrics: Metrics,
        random: Random,
    ) -> None:
        """Initialise without any limit.

        Args:
            peers: Links to the other instances.
            membership: The known instances.
            is_known: Returns whether a backend server is registered.
            count_senders: Returns how many instances send to a backend server, 0 if this one is
                not among them, given the server, its region and the maximum number of senders.
            metrics: Counts statements, and requests that a limit kept from a backend server.
            random: Source of the jitter.
        """
        self.stated = StatedLimits(is_known=is_known, metrics=metrics)
        self.pacing = LimitPacing(limits=self.stated, count_senders=count_senders, metrics=metrics)
        self._exchange = LimitExchange(
            limits=self.stated, peers=peers, membership=membership, random=random
        )

    @property
    def gauges(self) -> dict[str, float]:
        """The current values of the gauges."""
        return {"stated_limits": self.stated.in_force}

    def forget(self, server: str) -> None:
        """Remove what is known of a backend server that is gone or has restarted."""
        self.stated.forget(server)
        self.pacing.forget(server)

    async def run(self) -> None:
        """Exchange limits with the other instances until cancelled."""
        await self._exchange.run()


def make_bound_senders(*, membership: Membership, listed: Callable[[], int]) -> BoundSenders:
    """Return the choice of the instances that share a bound on a backend server.

    Args:
        membership: The known instances.
        listed: Returns how many instances the platform lists; used until membership knows all.
    """
    instances = InstanceCount(
        alive=lambda: sum(member.state != "dead" for member in membership.members()),
        registered=listed,
    )
    return BoundSenders(
        own=membership.own.address,
        members=membership.members,
        instances=lambda: instances.value,
    )
