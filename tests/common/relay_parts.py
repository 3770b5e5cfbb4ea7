"""Builders for the parts that relay connections, and use relays."""

from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import cast

from tests.common.fake_peers import FakeNetwork, FakePeers
from tests.common.fixed_membership import FixedMembership
from wagtailpoint.membership import Membership
from wagtailpoint.membership.member import Member
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.distances import Distances
from wagtailpoint.relay.client import RelayClient
from wagtailpoint.relay.confirmations import RelayConfirmations

GOES_ON_S = 5.25
"""Time for which a relay goes on after a question, in seconds."""


def make_confirmations(
    peers: FakePeers,
    *,
    members: Sequence[Member],
    is_leaving: Callable[[], bool] = lambda: False,
    in_use: Callable[[], Collection[str]] = tuple,
) -> RelayConfirmations:
    """Return the confirmations of the instance to which ``peers`` belongs; all stay members."""
    membership = FixedMembership(
        addresses=[member.peer_address for member in members], own=peers.address
    )
    return RelayConfirmations(
        peers=peers,
        membership=cast(Membership, membership),
        is_leaving=is_leaving,
        in_use=in_use,
        goes_on_s=lambda: GOES_ON_S,
    )


def make_relay_client(
    *,
    own: Callable[[], Member],
    members: Callable[[], Sequence[Member]],
    distances: Distances,
    metrics: Metrics,
    port: int = 1,
    record_backoff: Callable[[str, float], None] = lambda server, seconds: None,
    confirmations: RelayConfirmations | None = None,
) -> RelayClient:
    """Return a client of relays, which asks none for a confirmation unless it is given some."""
    alone = FakePeers(network=FakeNetwork(), address=own().peer_address)
    return RelayClient(
        own=own,
        members=members,
        port=port,
        region_of={"a-1": "a", "a-2": "a", "b-1": "b"},
        distances=distances,
        record_backoff=record_backoff,
        confirmations=confirmations or make_confirmations(alone, members=[own()]),
        metrics=metrics,
        random=Random(1),
    )
