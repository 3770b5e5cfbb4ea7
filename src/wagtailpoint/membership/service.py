"""The membership of the cluster as one instance sees it.

The probing cost of an instance does not grow with the number of members: it probes one member per
period (SWIM, Das, Gupta and Motivala 2002) and gossips changes only. Probing, gossip,
synchronisation of views and reconnection have modules of their own.
"""

from collections.abc import Callable, Sequence
from random import Random

import trio

from wagtailpoint.membership.gossip import Gossiper
from wagtailpoint.membership.member import Fact, Member, MemberState
from wagtailpoint.membership.probing import Prober
from wagtailpoint.membership.reconnection import Reconnector
from wagtailpoint.membership.settings import MembershipSettings
from wagtailpoint.membership.table import MemberTable
from wagtailpoint.membership.view_sync import ViewSynchroniser
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import PeerAddress, Peers

MIN_LOAD_INTERVAL_S = 2.0
LOAD_INTERVAL_PER_MEMBER_S = 0.2


class Membership:
    """Tracks the members as this instance sees them, and publishes its own state to them.

    Args:
        own: The initial fact of this instance; its sequence is the wall clock in milliseconds.
        peers: The links to the other instances.
        clock: The clocks of this instance.
        random: Chooses the members to probe and to gossip to.
        seeds: The configured addresses of the first other members; this instance's own address
            may be among them.
        hints: Returns the addresses in the platform's list of instances, which may be out of date
            or empty.
        settings: Intervals, time-outs and limits.
    """

    def __init__(
        self,
        *,
        own: Fact,
        peers: Peers,
        clock: Clock,
        random: Random,
        seeds: Sequence[PeerAddress],
        hints: Callable[[], Sequence[PeerAddress]] = tuple,
        settings: MembershipSettings | None = None,
    ) -> None:
        self._settings = settings or MembershipSettings()
        self._monotonic = clock.monotonic
        self._load_published_at: float | None = None
        self._table = MemberTable(
            own=own,
            clock=clock,
            gossip_copies=self._settings.gossip_copies,
            report_copies=self._settings.report_copies,
            urgent_load_step=self._settings.urgent_load_step,
        )
        self._gossiper = Gossiper(
            table=self._table, peers=peers, random=random, settings=self._settings
        )
        self._synchroniser = ViewSynchroniser(
            table=self._table,
            gossiper=self._gossiper,
            peers=peers,
            random=random,
            settings=self._settings,
        )
        self._prober = Prober(
            table=self._table,
            gossiper=self._gossiper,
            synchroniser=self._synchroniser,
            peers=peers,
            random=random,
            settings=self._settings,
        )
        self._reconnector = Reconnector(
            table=self._table,
            synchroniser=self._synchroniser,
            random=random,
            seeds=seeds,
            hints=hints,
            settings=self._settings,
        )

    @property
    def own(self) -> Member:
        """This instance as a member."""
        return next(
            member for member in self.members() if member.address == self._table.own.address
        )

    def members(self) -> tuple[Member, ...]:
        """Return all members sorted by address, including this instance, leaving and dead ones."""
        return self._table.members

    def member(self, address: str) -> Member | None:
        """Return the member at an address; None if there is none."""
        return next((member for member in self.members() if member.address == address), None)

    def others(self) -> Sequence[PeerAddress]:
        """Return the peer addresses of all other members that are not dead."""
        own = self._table.own.address
        return [
            member.peer_address
            for member in self.members()
            if member.address != own and member.state != "dead"
        ]

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback``, which must not block, after every change of ``members()``."""
        self._gossiper.on_change(callback)

    async def wait_changed(self) -> None:
        """Wait for the next change of ``members()``."""
        await self._gossiper.wait_changed()

    def publish(
        self,
        *,
        state: MemberState | None = None,
        epoch: int | None = None,
        config_version: int | None = None,
        load: float | None = None,
    ) -> None:
        """Publish state of this instance; arguments that are None leave the value unchanged.

        A change of the load alone is published only if it is at least ``load_step``, at an
        interval that grows with the number of members, so that loads cannot use up the bandwidth
        for control messages.
        """
        own = self._table.own
        changed = own._replace(
            state=own.state if state is None else state,
            epoch=own.epoch if epoch is None else epoch,
            config_version=own.config_version if config_version is None else config_version,
        )
        if load is not None and (changed != own or self._is_load_due(load)):
            changed = changed._replace(load=round(load, 2))
            self._load_published_at = self._monotonic()
        if changed != own:
            self._table.publish(changed)
            self._gossiper.notify_change()

    def leave(self) -> None:
        """Announce that this instance accepts no more work; it goes on answering its peers."""
        self.publish(state="leaving")

    def announce_exit(self) -> None:
        """Announce to a few members that this process exits, which saves them a suspicion."""
        self.publish(state="dead")
        self._gossiper.push(self._settings.push_fanout * 2)

    def watchers(self, failure_domain: str, count: int) -> tuple[Member, ...]:
        """Return up to ``count`` members that should watch the platform for a failure domain.

        All instances with the same view choose the same members. While views differ, more than
        ``count`` may watch, which costs a few additional calls and does no other harm.
        """
        live = [
            member
            for member in self.members()
            if member.failure_domain == failure_domain
            and member.state in ("starting", "live", "isolated")
            and not member.suspect
        ]
        return tuple(live[:count])

    async def run(self) -> None:
        """Run probing, gossip, synchronisation and reconnection until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._prober.run)
            nursery.start_soon(self._gossiper.run)
            nursery.start_soon(self._synchroniser.run)
            nursery.start_soon(self._reconnector.run)

    def _is_load_due(self, load: float) -> bool:
        step = abs(load - self._table.own.load)
        if step < self._settings.load_step:
            return False
        interval_s = max(MIN_LOAD_INTERVAL_S, LOAD_INTERVAL_PER_MEMBER_S * len(self._table.members))
        if step >= self._settings.urgent_load_step:
            interval_s = self._settings.urgent_load_interval_s
        published_at_s = self._load_published_at
        return published_at_s is None or self._monotonic() - published_at_s >= interval_s
