"""Instances that share the allowances of workspaces, on links and a store that can be cut."""

from collections.abc import Iterable, Mapping, Sequence
from random import Random
from typing import Final

import trio

from tests.common.fake_peers import FakeNetwork, FakePeers
from tests.common.fake_platform import FakePlatform
from wagtailpoint.limits.allowance import Allowance
from wagtailpoint.limits.allowance_sharing import AllowanceSharing, SpendResult
from wagtailpoint.limits.allowance_slots import SLOTS_OF_A_REGION, AllowanceSlots, Slot
from wagtailpoint.limits.lease import Holder
from wagtailpoint.membership.member import Member
from wagtailpoint.ports.peers import PeerAddress

REGIONS: Final = ("a", "b", "c")
PORT: Final = 7000


class RatedClock:
    """Runs a little faster or slower than the clock of the test."""

    def __init__(self, *, rate: float) -> None:
        self._rate = rate

    def monotonic(self) -> float:
        return self._rate * trio.current_time()

    def wall(self) -> float:
        return self.monotonic()


class ReachedPlatform(FakePlatform):
    """The common store, as one instance reaches it."""

    def __init__(self, common: FakePlatform) -> None:
        super().__init__()
        self.store = common.store


class SeenMembers:
    """The members as one instance sees them."""

    def __init__(self, *, own: Member) -> None:
        self.own = own
        self.seen: tuple[Member, ...] = (own,)

    def members(self) -> tuple[Member, ...]:
        return self.seen


class SharingInstance:
    """One process."""

    def __init__(self, group: "AllowanceGroup", member: Member) -> None:
        self.member = member
        self.stopped = trio.CancelScope()
        self.membership = SeenMembers(own=member)
        self.platform = ReachedPlatform(group.platform)
        self.peers = FakePeers(network=group.network, address=member.peer_address)
        clock = RatedClock(rate=group.random.uniform(*group.clock_rates))
        random = Random(group.random.random())
        slots = AllowanceSlots(
            platform=self.platform,
            clock=clock,
            membership=self.membership,  # type: ignore[arg-type]
            own=Holder(*member.peer_address),
            is_needed=lambda: True,
            random=random,
        )
        self._slots = slots
        self.sharing = AllowanceSharing(
            slots=slots,
            peers=self.peers,
            clock=clock,
            own_region=member.region,
            regions=frozenset(REGIONS),
            allowances=lambda: group.allowances,
            slack=lambda: group.slack,
            is_entry=lambda: True,
            random=random,
        )

    @property
    def slots_held(self) -> int:
        return self._slots.held_count

    @property
    def held(self) -> list[Slot]:
        """The slots that it holds by its own clock; none after its end."""
        if self.stopped.cancel_called:
            return []
        region = self.member.region
        slots = (Slot(region, number) for number in range(SLOTS_OF_A_REGION))
        return [slot for slot in slots if self._slots.held(slot)]

    async def run(self) -> None:
        with self.stopped:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.peers.run)
                nursery.start_soon(self._slots.run)
                nursery.start_soon(self.sharing.run)


class AllowanceGroup:
    """So many instances, spread over the regions.

    Attributes:
        allowances: In force on all instances.
        granted: When a token was spent, by workspace.
        refused: When a request found none, by workspace.
    """

    def __init__(
        self,
        *,
        count: int,
        seed: int,
        allowances: Mapping[str, Allowance],
        slack: float,
        clock_rates: tuple[float, float] = (1.0, 1.0),
    ) -> None:
        self.random = Random(seed)
        self.allowances = dict(allowances)
        self.slack = slack
        self.clock_rates = clock_rates
        self.platform = FakePlatform()
        self.network = FakeNetwork()
        self.granted: dict[str, list[float]] = {name: [] for name in allowances}
        self.refused: dict[str, list[float]] = {name: [] for name in allowances}
        self._incarnations = 0
        self.instances = [self._make(number) for number in range(count)]

    def _make(self, number: int) -> SharingInstance:
        self._incarnations += 1
        region = REGIONS[number % len(REGIONS)]
        member = Member(
            address=f"127.8.{number // 200}.{number % 200}",
            port=80,
            peer_port=PORT,
            region=region,
            failure_domain=f"{region}-1",
            incarnation=self._incarnations,
            epoch=1,
            state="live",
            suspect=False,
            config_version=1,
            load=0.0,
        )
        return SharingInstance(self, member)

    def start(self, nursery: trio.Nursery) -> None:
        """Run all instances; all of them see all others."""
        for each in self.instances:
            nursery.start_soon(each.run)
        self.see_all()

    def see_all(self) -> None:
        """Every instance sees all that run."""
        self.see([self.instances])

    def see(self, sides: Iterable[Sequence[SharingInstance]]) -> None:
        """Every instance sees those of its side that run."""
        for side in sides:
            seen = tuple(each.member for each in side if not each.stopped.cancel_called)
            for each in side:
                each.membership.own = each.member
                each.membership.seen = seen

    def kill(self, number: int) -> None:
        """End a process; who sees it is left as it is."""
        self.instances[number].stopped.cancel()

    def restart(self, number: int, nursery: trio.Nursery) -> None:
        """Start a process in place of one that was killed; it sees itself at first."""
        started = self.instances[number] = self._make(number)
        started.membership.own = started.member._replace(state="starting")
        nursery.start_soon(started.run)

    async def request(self, number: int, workspace: str) -> SpendResult:
        """Spend a token for a request that arrives at an instance."""
        spent = await self.instances[number].sharing.spend(workspace)
        told = self.granted if spent.granted else self.refused
        told[workspace].append(trio.current_time())
        return spent

    def peer(self, number: int) -> PeerAddress:
        """Where an instance hears its peers."""
        return self.instances[number].member.peer_address


def most_in_window(times: Sequence[float], window_s: float) -> int:
    """The most of some moments that lie in any window of a length."""
    ordered = sorted(times)
    most, first = 0, 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
