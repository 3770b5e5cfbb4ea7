"""The limits that this instance shares with the others: its seats, and its permits for slots."""

from collections.abc import Mapping, Sequence
from random import Random
from typing import Final, TypedDict

import trio

from wagtailpoint.admission.slots import SlotPool
from wagtailpoint.config.model import BackendServer, EffectiveConfig
from wagtailpoint.health.board import HealthBoard
from wagtailpoint.health.server import State
from wagtailpoint.limits.holder_check import AddressCheck, AnyCheck, ListCheck
from wagtailpoint.limits.homes import HomePermit, Permit, home_permits
from wagtailpoint.limits.keeper import KeeperPlace, SeatKeeper
from wagtailpoint.limits.lease import Holder
from wagtailpoint.limits.permits import Permits
from wagtailpoint.limits.rounds import PermitRounds, PoolRounds, Rounds, RoundSettings
from wagtailpoint.limits.seat import seat_names
from wagtailpoint.membership import Membership
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import PeerAddress, Peers
from wagtailpoint.ports.platform import Platform
from wagtailpoint.settings import Settings

ASKS_PER_S: Final = 2.0
"""Asks for permits of all pools together; each costs two messages of the control budget."""

UNUSABLE: Final = (State.EJECTED, State.DRAINING)


class SeatStatus(TypedDict):
    """A seat, with the part of it (0 to 1) that may be spent now."""

    name: str
    spendable: float
    in_doubt: bool


class PermitStatus(TypedDict):
    """Permits of one group of a service: had in all, in use, and borrowed ones among them."""

    pool: str
    held: int
    used: int
    borrowed: int


class _Pool:
    """The permits of one group of a service."""

    def __init__(self, *, permits: Permits, rounds: Rounds) -> None:
        self.permits = permits
        self.rounds = rounds
        self.homes: Mapping[Permit, HomePermit] = {}


class SharedLimits:
    """Implements ``admission.demand.SlotGrants`` by permits.

    With permits all instances together never use more slots of a backend server than it has.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        platform: Platform,
        peers: Peers,
        membership: Membership,
        health: HealthBoard,
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._health = health
        self._loan_s = settings.timings.share_loan_s
        self._config: EffectiveConfig | None = None
        self._seat_names: tuple[str, ...] = ()
        self._pools: dict[str, _Pool] = {}
        self._pool_of: dict[BackendAddress, _Pool] = {}
        self._slots: SlotPool | None = None
        self._keeper = self._make_keeper(settings, platform, peers)
        self._rounds = PermitRounds(
            pools=self._pool_rounds,
            peers=peers,
            period_s=settings.timings.share_round_s,
            others=self._others,
        )
        self._asking: Mapping[str, PoolRounds] = {}

    @property
    def keeper(self) -> SeatKeeper:
        """The seats of this instance."""
        return self._keeper

    def serve_from(self, slots: SlotPool) -> None:
        """Learn whose queues wait for permits; the slots are granted by this object itself."""
        self._slots = slots

    def apply(self, config: EffectiveConfig) -> None:
        """Follow another configuration.

        While instances enforce different sets of seats or backend servers, for the seconds that a
        change takes, two may take the same permit for theirs.
        """
        self._config = config
        self._seat_names = seat_names(config.regions)
        groups = {
            f"{service.name}/{name}": servers
            for service in config.services.values()
            for name, servers in service.groups.items()
        }
        for name in [each for each in self._pools if each not in groups]:
            del self._pools[name]
        self._pool_of = {}
        for name, servers in groups.items():
            pool = self._pools.get(name) or self._make_pool(name, len(groups))
            self._pools[name] = pool
            homes = home_permits(servers, self._seat_names)
            if homes != pool.homes:
                pool.homes = homes
            self._pool_of.update({server.address: pool for server in servers})
        self._asking = {name: self._asking_of(name, pool) for name, pool in self._pools.items()}
        self._keeper.look_now()

    def slots_of(self, server: BackendServer) -> int:
        """How many of a backend server's slots this instance may use now, used ones included."""
        pool = self._pool_of.get(server.address)
        return pool.permits.held_of(server.address) if pool is not None else 0

    def take(
        self, servers: Sequence[BackendServer], *, deadline: float, long: bool = False
    ) -> BackendServer | None:
        """Take a permit of one of these backend servers; None if there is no free one."""
        for pool in dict.fromkeys(map(self._find_pool, servers)):
            if pool is None:
                continue
            known = [server for server in servers if self._find_pool(server) is pool]
            taken = pool.permits.take(known, deadline=deadline, long=long)
            if taken is not None:
                return taken
        return None

    def give_back(self, server: BackendServer) -> None:
        """Give a permit back."""
        pool = self._pool_of.get(server.address)
        if pool is not None:
            pool.permits.give_back(server)

    def seats(self) -> list[SeatStatus]:
        """The seats of this instance, for operators."""
        return [
            SeatStatus(name=name, spendable=seat.spendable_fraction(), in_doubt=seat.in_doubt)
            for name, seat in self._keeper.seats.items()
        ]

    def permits(self) -> list[PermitStatus]:
        """The permits of this instance by pool, for operators; none without any seat or loan."""
        return [
            PermitStatus(
                pool=name,
                held=pool.permits.held(),
                used=pool.permits.used,
                borrowed=pool.permits.borrowed,
            )
            for name, pool in self._pools.items()
            if pool.permits.held()
        ]

    async def run(self) -> None:
        """Keep the seats and move permits, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keeper.run)
            nursery.start_soon(self._rounds.run)

    def _find_pool(self, server: BackendServer) -> _Pool | None:
        return self._pool_of.get(server.address)

    def _make_keeper(self, settings: Settings, platform: Platform, peers: Peers) -> SeatKeeper:
        timings = settings.timings
        own = peers.address
        checks = AnyCheck(
            checks=[
                AddressCheck(peers=peers, timeout_s=timings.platform_timeout_s),
                ListCheck(platform=platform, clock=self._clock, margin_s=2 * timings.seat_lease_s),
            ]
        )
        return SeatKeeper(
            platform=platform,
            clock=self._clock,
            check=checks,
            place=KeeperPlace(
                own=Holder(own.address, own.port, own.incarnation),
                failure_domain=settings.failure_domain,
            ),
            names=lambda: self._seat_names,
            lease_s=timings.seat_lease_s,
            loan_s=self._loan_s,
            drained=self._is_drained,
        )

    def _make_pool(self, name: str, pools: int) -> _Pool:
        permits = Permits(
            pool=name,
            clock=self._clock,
            homes=lambda: self._pools[name].homes,
            seats=lambda: self._keeper.seats,
            usable=lambda address: self._health.state_of(address) not in UNUSABLE,
            loan_s=self._loan_s,
        )
        rounds = Rounds(
            permits=permits,
            clock=self._clock,
            random=Random(),
            loan_s=self._loan_s,
            settings=RoundSettings(asks_per_s=ASKS_PER_S / pools),
        )
        return _Pool(permits=permits, rounds=rounds)

    def _is_drained(self, seat: str) -> bool:
        return all(pool.permits.is_drained(seat) for pool in self._pools.values())

    def _pool_rounds(self) -> Mapping[str, PoolRounds]:
        return self._asking

    def _asking_of(self, name: str, pool: _Pool) -> PoolRounds:
        return PoolRounds(
            rounds=pool.rounds,
            queued=lambda: self._slots.queued_for(name) if self._slots is not None else 0,
            arrived=lambda: self._slots.arrived_for(name) if self._slots is not None else 0,
            changed=lambda: self._slots.serve() if self._slots is not None else None,
        )

    def _others(self) -> Sequence[PeerAddress]:
        own = self._membership.own.address
        return [
            member.peer_address
            for member in self._membership.members()
            if member.address != own and member.state in ("live", "leaving") and not member.suspect
        ]
