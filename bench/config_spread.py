"""How long an accepted change takes to all instances, and how many calls of the platform it costs.

Real instances, and the platform stand-in, on loopback. The calls of the operator are counted apart:
they are the same for every fleet.
"""

import time

import trio
from tests.common.deployment_process import RunningDeployment

from wagtailpoint.adapters.platform_http import HttpPlatform
from wagtailpoint.config.store import ConfigStore
from wagtailpoint.observe.hlc import parse_stamp

SHORT_FLEETS = (3, 9)
FULL_FLEETS = (3, 9, 30)
CHANGES = 5
IN_FORCE_TIMEOUT_S = 10.0
MAX_CALLS_GROWTH = 2.5
"""Calls a change may grow by this factor from the smallest to the largest fleet: it grows with the
failure domains, not with the instances."""

OPERATOR_CALLS = 5
"""Head and manifest read; one content, the manifest and the head written."""


class Spread:
    """What one fleet measured."""

    def __init__(self, *, instances: int) -> None:
        self.instances = instances
        self.durations_s: list[float] = []
        self.calls: list[int] = []

    @property
    def row(self) -> str:
        """A line of the table."""
        sorted_s = sorted(self.durations_s)
        median_ms, max_ms = sorted_s[len(sorted_s) // 2] * 1000, sorted_s[-1] * 1000
        calls = f"{min(self.calls):>5} | {max(self.calls):>5}"
        return f"{self.instances:>9} | {median_ms:>9.0f} | {max_ms:>8.0f} | {calls}"


def run(short: bool) -> list[str]:
    """Measure each size of fleet.

    Raises:
        AssertionError: A change was not in force everywhere in time, or its calls grow too fast.
    """
    spreads = [measure(instances) for instances in (SHORT_FLEETS if short else FULL_FLEETS)]
    first, last = min(spreads[0].calls), min(spreads[-1].calls)
    assert last <= MAX_CALLS_GROWTH * first, f"{last} calls a change, {first} in the small fleet"
    header = "instances | median ms | worst ms | calls of the platform by instances, least and most"
    return [header, *(spread.row for spread in spreads)]


def measure(instances: int) -> Spread:
    """Make some changes in a fleet of so many instances."""
    spread = Spread(instances=instances)
    with RunningDeployment(name="surakkha", entries=instances) as running:
        running.apply_objects()
        for number in range(CHANGES):
            trio.run(_apply_change, running, spread, 2000 + number)
    return spread


async def _apply_change(running: RunningDeployment, spread: Spread, max_rps: int) -> None:
    address = running.entries[0].settings.platform[0]
    platform = HttpPlatform(addresses=[(address.address, address.port)], timeout_s=2.0)
    store = ConfigStore(platform=platform, clock_wall=time.time)
    current = (await store.read()).unwrap()
    assert current is not None
    before = (await trio.to_thread.run_sync(running.platform_counts))["total"]
    value = dict(current.objects["workspace/surakkha"])
    value["parameters"] = {**value["parameters"], "max_rps": max_rps}
    applied = await store.apply(
        puts={"workspace/surakkha": value},
        deletes=(),
        base_version=current.change.version,
        author="bench",
        message="measure the spread",
    )
    accepted_at = time.time()
    operator_calls = (await trio.to_thread.run_sync(running.platform_counts))["total"] - before
    version = applied.unwrap().change.version
    in_force_at = [
        await _wait_until_in_force(running, index, version) for index in range(spread.instances)
    ]
    spread.durations_s.append(max(0.0, max(in_force_at) - accepted_at))
    after = (await trio.to_thread.run_sync(running.platform_counts))["total"]
    spread.calls.append(after - before - min(operator_calls, OPERATOR_CALLS))


async def _wait_until_in_force(running: RunningDeployment, index: int, version: int) -> float:
    """When an instance put a version into force, by the wall clock that all share here."""
    with trio.fail_after(IN_FORCE_TIMEOUT_S):
        while True:
            page = await trio.to_thread.run_sync(running.entries[index].page, "timeline")
            for event in page["events"]:
                if event["event"] == "config-in-force" and event["version"] >= version:
                    return parse_stamp(event["hlc"]).wall_ms / 1000
            await trio.sleep(0.02)
