"""What an instance first tells the other instances of itself."""

from wagtailpoint.membership.member import Fact
from wagtailpoint.node_settings import NodeSettings


def make_own_fact(settings: NodeSettings, *, incarnation: int, wall_s: float) -> Fact:
    """Return the fact of an instance that starts.

    Args:
        settings: The settings of the instance.
        incarnation: The number of its start.
        wall_s: The wall clock time in seconds, from which the sequence numbers count.
    """
    return Fact(
        address=settings.callers.address,
        port=settings.callers.port,
        peer_port=settings.peers.port,
        region=settings.region,
        failure_domain=settings.failure_domain,
        incarnation=incarnation,
        sequence=int(wall_s * 1000),
        capacity=settings.capacity,
    )
