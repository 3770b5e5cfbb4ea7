"""Measures the time until a configuration change is in force everywhere, and its platform calls.

Real instances and the platform stand-in run on loopback. The operator's calls are subtracted, as
they are the same for every fleet size.
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
"""Maximum growth of calls per change from the smallest to the largest fleet. Calls should
grow with the number of failure domains, not of instances."""

OPERATOR_CALLS = 5
"""Two reads (head and manifest) and three writes (one content, the manifest and the head)."""


class Spread:
    """The measurements of one fleet."""

    def __init__(self, *, instances: int) -> None:
        self.instances = instances
        self.durations_s: list[float] = []
        self.calls: list[int] = []

    @property
    def row(self) -> str:
        """The table row of the fleet."""
        sorted_s = sorted(self.durations_s)
        median_ms, max_ms = sorted_s[len(sorted_s) // 2] * 1000, sorted_s[-1] * 1000
        calls = f"{min(self.calls):>5} | {max(self.calls):>5}"
        return f"{self.instances:>9} | {median_ms:>9.0f} | {max_ms:>8.0f} | {calls}"


def run(short: bool) -> list[str]:
    """Measure each fleet size.

    Raises:
        AssertionError: The platform calls per change grow faster than the bound.
        trio.TooSlowError: A change was not in force everywhere within `IN_FORCE_TIMEOUT_S`.
    """
    spreads = [measure(instances) for instances in (SHORT_FLEETS if short else FULL_FLEETS)]
    first, last = min(spreads[0].calls), min(spreads[-1].calls)
    assert (
        last <= MAX_CALLS_GROWTH * first
    ), f"{last} calls per change in the largest fleet, {first} in the smallest"
    header = (
        "instances | median ms |   max ms | platform calls per change by instances, min and max"
    )
    return [header, *(spread.row for spread in spreads)]


def measure(instances: int) -> Spread:
    """Apply some changes in a fleet with the given number of instances."""
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
    """Return the wall-clock time, in seconds, at which an instance put a version into force.

    All processes share one wall clock.
    """
    with trio.fail_after(IN_FORCE_TIMEOUT_S):
        while True:
            page = await trio.to_thread.run_sync(running.entries[index].page, "timeline")
            for event in page["events"]:
                if event["event"] == "config-in-force" and event["version"] >= version:
                    return parse_stamp(event["hlc"]).wall_ms / 1000
            await trio.sleep(0.02)
