"""Runs one instance of the membership bench: only links, membership and configuration.

Reads one command per line from standard input; answers `report` with one line of JSON.
"""

import json
import os
import sys
import time
from random import Random

import trio
from loguru import logger

from wagtailpoint.adapters.clock import SystemClock
from wagtailpoint.adapters.peers_nng import NngPeers
from wagtailpoint.config.manifest import ChangeInfo, Snapshot
from wagtailpoint.membership import ConfigSpread, Membership, MembershipSettings
from wagtailpoint.membership.member import Fact
from wagtailpoint.observe.hlc import HybridClock
from wagtailpoint.ports.peers import PeerAddress

PORT = 7400
REGIONS = ("highlands", "lowlands", "islands")


class BenchInstance:
    """An instance without requests, which records when it observed each event."""

    def __init__(self, *, prefix: str, number: int, settings: MembershipSettings) -> None:
        clock = SystemClock()
        address = f"{prefix}.{number}"
        region = REGIONS[number % len(REGIONS)]
        random = Random()
        incarnation = random.getrandbits(60)
        self.peers = NngPeers(
            address=PeerAddress(address, PORT, incarnation),
            hybrid_clock=HybridClock(wall=clock.wall),
            clock=clock,
        )
        self.membership = Membership(
            own=Fact(
                address=address,
                port=8000,
                peer_port=PORT,
                region=region,
                failure_domain=f"{region}-{number % 2}",
                incarnation=incarnation,
                sequence=int(clock.wall() * 1000),
            ),
            peers=self.peers,
            clock=clock,
            random=random,
            seeds=[PeerAddress(f"{prefix}.{seed}", PORT) for seed in (1, 2, 3)],
            settings=settings,
        )
        self.spread = ConfigSpread(peers=self.peers, membership=self.membership, random=random)
        self.spread.on_snapshot(self._enforce)
        self.membership.on_change(self._record_states)
        self.seen: dict[str, float] = {}
        self.membership.publish(state="live")

    def offer(self, version: int) -> None:
        """Offer a version of the configuration, as if the platform had delivered it."""
        objects = {
            f"workspace/{index}": {"template": "stays", "version": version if index < 3 else 0}
            for index in range(200)
        }
        snapshot = Snapshot(ChangeInfo(version, f"c{version}", "bench", 0.0, ""), objects)
        if self.spread.offer(snapshot):
            self._enforce(snapshot)

    def report(self) -> dict[str, object]:
        """Return the resources used so far, and the times at which events were observed."""
        counts = self.peers.counts
        snapshot = self.spread.current()
        return {
            "at": time.monotonic(),
            "processor_s": time.process_time(),
            "sent": {kind: list(traffic) for kind, traffic in counts.sent.items()},
            "received": {kind: list(traffic) for kind, traffic in counts.received.items()},
            "dropped": counts.dropped,
            "links": self.peers.open_links,
            "threads": len(os.listdir("/proc/self/task")),
            "rss_kb": _rss_kb(),
            "states": {member.address: member.state for member in self.membership.members()},
            "seen": self.seen,
            "incarnations": {
                member.address: member.incarnation for member in self.membership.members()
            },
            "version": snapshot.change.version if snapshot is not None else 0,
        }

    def _enforce(self, snapshot: Snapshot) -> None:
        self.seen.setdefault(f"has {snapshot.change.version}", time.monotonic())
        self.membership.publish(config_version=snapshot.change.version)

    def _record_states(self) -> None:
        now = time.monotonic()
        members = self.membership.members()
        for member in members:
            self.seen.setdefault(f"{member.address} {member.state}", now)
        lowest = min(member.config_version for member in members if member.state != "dead")
        self.seen.setdefault(f"all enforce {lowest}", now)


def _rss_kb() -> int:
    with open("/proc/self/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))


async def _serve_commands(instance: BenchInstance, scope: trio.CancelScope) -> None:
    commands = trio.lowlevel.FdStream(os.dup(sys.stdin.fileno()))
    buffer = b""
    async for chunk in commands:
        *lines, buffer = (buffer + chunk).split(b"\n")
        for line in lines:
            match line.decode().split():
                case ["report"]:
                    print(json.dumps(instance.report()), flush=True)
                case ["offer", version]:
                    instance.offer(int(version))
                case ["leave"]:
                    instance.membership.leave()
                case ["load", load]:
                    instance.membership.publish(load=float(load))
    # The bench closed standard input: end this process too.
    scope.cancel()


async def _main() -> None:
    logger.remove()
    prefix, number, settings = sys.argv[1:]
    instance = BenchInstance(
        prefix=prefix,
        number=int(number),
        settings=MembershipSettings(**json.loads(settings)),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.peers.run)
        nursery.start_soon(instance.membership.run)
        nursery.start_soon(instance.spread.run)
        nursery.start_soon(_serve_commands, instance, nursery.cancel_scope)


if __name__ == "__main__":
    trio.run(_main)
