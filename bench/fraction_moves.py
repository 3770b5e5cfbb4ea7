"""Counts the keys that change sides as the fractions of keys kept by regions and domains change.

    python -m bench.fraction_moves

One instance of a deployment of 36 instances and 76 backend servers of 9 slots in six failure
domains gets requests at a steady mean rate in virtual time. Each change of a fraction moves as many
keys as it changes by.
"""

from random import Random
from typing import Final, NamedTuple

import trio
from loguru import logger
from trio.testing import MockClock

from bench.moves_by_change import OWN_DOMAIN, REGION_OF, make_servers
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.cached_fraction import UPDATE_INTERVAL_S, CachedFraction
from wagtailpoint.placement.entry_counts import FixedEntryCounts

SERVERS: Final = 76
SLOTS: Final = 9
SERVICE_S: Final = 0.5
STEADY_RPS: Final = (12.0, 20.0, 30.0)
SHORT_S: Final = 60.0
FULL_S: Final = 600.0
SETTLING_S: Final = 20.0
BANDS: Final = (0.0, 0.05, 0.1, 0.2)


class Turnover(NamedTuple):
    """The changes of a fraction.

    Attributes:
        mean: Its mean.
        per_minute: The sum of its changes per minute.
        banded_per_minute: The same, by band, if it only followed a need outside of a band.
    """

    mean: float
    per_minute: float
    banded_per_minute: dict[float, float]


def _turnover(fractions: list[float]) -> Turnover:
    minutes = len(fractions) * UPDATE_INTERVAL_S / 60
    moves = dict.fromkeys(BANDS, 0.0)
    for band in BANDS:
        kept = fractions[0]
        for fraction in fractions:
            if abs(fraction - kept) > band * kept:
                moves[band] += abs(fraction - kept)
                kept = fraction
    banded = {band: moves[band] / minutes for band in BANDS}
    return Turnover(sum(fractions) / len(fractions), banded[0.0], banded)


async def _follow(rate: float, seconds: float) -> dict[str, list[float]]:
    """Return the fractions of the own region and failure domain at each update."""
    fleet = Fleet(region_of=REGION_OF)
    fleet.update(make_servers(SERVERS, (SLOTS,)).values())
    entries = FixedEntryCounts(everywhere=36, in_region=12, in_domain=6)
    fraction = CachedFraction(fleet=fleet, entries=entries)
    random = Random(1)
    followed: dict[str, list[float]] = {"region": [], "domain": []}
    next_request = 0.0
    while trio.current_time() < seconds:
        await trio.sleep(UPDATE_INTERVAL_S)
        while next_request < trio.current_time():
            fraction.record_request("desk", SERVICE_S)
            next_request += random.expovariate(rate)
        region = fraction.region_fraction("desk", REGION_OF[OWN_DOMAIN])
        domain = fraction.domain_fraction("desk", OWN_DOMAIN)
        if trio.current_time() > SETTLING_S:
            followed["region"].append(region)
            followed["domain"].append(domain)
    return followed


def run(short: bool) -> list[str]:
    """Measure each rate."""
    logger.disable("wagtailpoint")
    seconds = SHORT_S if short else FULL_S
    lines = ["rate/s of an instance  place   mean fraction  % of the keys moved a minute, by band"]
    for rate in STEADY_RPS:
        followed = trio.run(_follow, rate, seconds, clock=MockClock(autojump_threshold=0))
        for place, fractions in followed.items():
            turnover = _turnover(fractions)
            banded = "  ".join(
                f"{band:g}: {100 * moved:.1f}" for band, moved in turnover.banded_per_minute.items()
            )
            lines.append(f"{rate:21.0f}  {place:7} {turnover.mean:13.2f}  {banded}")
    logger.enable("wagtailpoint")
    return lines


if __name__ == "__main__":
    print("\n".join(run(short=False)))
