"""A group of instances in one process, with in-memory links and Trio's mock clock."""

from collections.abc import Awaitable, Callable
from random import Random

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_clock import TrioClock
from tests.common.fake_peers import FakeNetwork, FakePeers
from wagtailpoint.config.manifest import Snapshot
from wagtailpoint.membership import ConfigSpread, Membership, MembershipSettings
from wagtailpoint.membership.member import Fact
from wagtailpoint.ports.peers import PeerAddress

PEER_PORT = 7000
POLL_S = 0.05
REGIONS = ("kolkata", "siliguri", "durgapur")

logger.disable("wagtailpoint.membership")

SEEDS = tuple(PeerAddress(f"127.0.0.{number}", PEER_PORT) for number in (1, 2, 3))


class Instance:
    """One instance with its membership and configuration distribution."""

    def __init__(
        self,
        *,
        network: FakeNetwork,
        address: str,
        region: str,
        seed: int,
        wall_s: float,
        settings: MembershipSettings | None = None,
    ):
        self.address = address
        self.incarnation = Random(seed).getrandbits(60)
        self.peers = FakePeers(
            network=network, address=PeerAddress(address, PEER_PORT, self.incarnation)
        )
        self.membership = Membership(
            own=Fact(
                address=address,
                port=8000,
                peer_port=PEER_PORT,
                region=region,
                failure_domain=f"{region}-a",
                incarnation=self.incarnation,
                sequence=int(wall_s * 1000),
            ),
            peers=self.peers,
            clock=TrioClock(),
            random=Random(seed),
            seeds=SEEDS,
            settings=settings,
        )
        self.spread = ConfigSpread(
            peers=self.peers, membership=self.membership, random=Random(seed)
        )
        self.spread.on_snapshot(self._enforce)
        self.versions: list[int] = []
        self.scope = trio.CancelScope()

    async def run(self) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.peers.run)
                nursery.start_soon(self.membership.run)
                nursery.start_soon(self.spread.run)

    def offer(self, snapshot: Snapshot) -> bool:
        """Pass a snapshot to this instance as if the platform had delivered it."""
        newer = self.spread.offer(snapshot)
        if newer:
            self._enforce(snapshot)
        return newer

    def _enforce(self, snapshot: Snapshot) -> None:
        self.versions.append(snapshot.change.version)
        self.membership.publish(config_version=snapshot.change.version)

    def kill(self) -> None:
        self.scope.cancel()

    def states(self) -> dict[str, str]:
        """Return the state of each member as this instance sees it, by address."""
        return {member.address: member.state for member in self.membership.members()}


class MemberGroup:
    """Starts instances and waits for conditions on their views."""

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        settings: MembershipSettings | None = None,
        first_seed: int = 1,
    ) -> None:
        self._nursery = nursery
        self._settings = settings
        self._next_seed = first_seed
        self.network = FakeNetwork()
        self.instances: dict[str, Instance] = {}

    def start(
        self, address: str, *, region: str = REGIONS[0], wall_s: float | None = None
    ) -> Instance:
        """Start an instance, or a replacement at the address of a former one."""
        instance = Instance(
            network=self.network,
            address=address,
            region=region,
            seed=self._next_seed,
            wall_s=TrioClock().wall() if wall_s is None else wall_s,
            settings=self._settings,
        )
        self._next_seed += 1
        self.instances[address] = instance
        self._nursery.start_soon(instance.run)
        instance.membership.publish(state="live")
        return instance

    async def start_all(self, count: int) -> None:
        """Start instances, a third in each region, and wait until all see each other live."""
        for number in range(1, count + 1):
            region = REGIONS[(number - 1) * len(REGIONS) // count]
            self.start(f"127.0.0.{number}", region=region)
        await self.wait_until(lambda: self.all_see_all("live"))

    def all_see_all(self, state: str) -> bool:
        return all(
            set(instance.states()) >= set(self.instances)
            and set(instance.states().values()) == {state}
            for instance in self.instances.values()
        )

    def all_see(self, address: str, state: str) -> bool:
        """Return whether all other running instances see one instance in a state."""
        return all(
            instance.states().get(address) == state
            for instance in self.instances.values()
            if instance.address != address
        )

    async def wait_until(self, condition: Callable[[], bool], *, within_s: float = 30) -> float:
        """Wait for a condition; return how long it took, in seconds."""
        started_at = trio.current_time()
        for _ in range(int(within_s / POLL_S)):
            if condition():
                return trio.current_time() - started_at
            await trio.sleep(POLL_S)
        raise AssertionError(f"condition not met within {within_s} s")


def run_group(
    scenario: Callable[[MemberGroup], Awaitable[None]],
    *,
    settings: MembershipSettings | None = None,
    first_seed: int = 1,
) -> None:
    """Run a scenario on a group of instances, with a clock that skips over every wait.

    Args:
        scenario: What happens to the group.
        settings: Overrides the settings of the membership protocol.
        first_seed: Random seed of the first instance; each later one gets the next number.
    """

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            group = MemberGroup(nursery=nursery, settings=settings, first_seed=first_seed)
            await scenario(group)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
