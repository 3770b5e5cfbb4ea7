"""Counts the affinity keys whose first backend server changes when a service's servers change.

    python -m bench.moves_by_change

Keys are ordered by the product's own ranking, from one failure domain. The least possible number
of moves is half of the sum of the changes of all servers' shares of the slots.
"""

import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from statistics import median
from typing import Final, NamedTuple

from loguru import logger

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.ranking import KeyOrder, Ranking
from wagtailpoint.ports.backend import BackendAddress

REGION_OF: Final = {f"{region}-{half}": region for region in "abc" for half in (1, 2)}
OWN_DOMAIN: Final = "a-1"
SLOTS: Final = (2, 4, 9, 16)
SERVERS: Final = 24
SHORT_KEYS: Final = 4000
FULL_KEYS: Final = 20_000
COST_SERVERS: Final = (36, 129, 400, 2000)
COST_KEYS: Final = 400
SCOPES: Final = ("all", "region", "domain")

Servers = Mapping[str, ServerEntry]


class Firsts(NamedTuple):
    """The first backend servers of one key; empty where there is none.

    Attributes:
        all: The first of all.
        region: The first in the instance's region.
        domain: The first in the instance's failure domain.
    """

    all: str
    region: str
    domain: str


def make_entry(number: int, *, slots: int, domain: str, server_id: str = "") -> ServerEntry:
    """Return a backend server of the service ``desk``."""
    return ServerEntry(
        server_id=server_id or f"i-{number:04x}",
        service="desk",
        address=BackendAddress("127.0.0.1", 1000 + number),
        failure_domain=domain,
        slots=slots,
        draining=False,
        cold_left_s=0.0,
    )


def make_servers(count: int, slots: Sequence[int] = SLOTS) -> Servers:
    """Return backend servers whose slots and failure domains vary independently."""
    domains = list(REGION_OF)
    entries = [
        make_entry(
            number, slots=slots[number % len(slots)], domain=domains[number // len(slots) % 6]
        )
        for number in range(count)
    ]
    return {entry.server_id: entry for entry in entries}


def _find(servers: Servers, slots: int) -> ServerEntry:
    return next(
        entry
        for entry in servers.values()
        if entry.slots == slots and entry.failure_domain == OWN_DOMAIN
    )


def _add(servers: Servers) -> Servers:
    added = make_entry(9999, slots=2, domain=OWN_DOMAIN)
    return {**servers, added.server_id: added}


def _remove(servers: Servers) -> Servers:
    removed = _find(servers, 16)
    return {name: entry for name, entry in servers.items() if name != removed.server_id}


def _change(servers: Servers, entry: ServerEntry) -> Servers:
    return {**servers, entry.server_id: entry}


def _replace(servers: Servers) -> Servers:
    replaced = make_entry(9999, slots=16, domain=OWN_DOMAIN)
    return _change(_remove(servers), replaced)


CHANGES: Final[Mapping[str, Callable[[Servers], Servers]]] = {
    "added, 2 slots": _add,
    "removed, 16 slots": _remove,
    "drained, 16 slots": lambda servers: _change(
        servers, _find(servers, 16)._replace(draining=True)
    ),
    "new id, 16 slots": _replace,
    "restarted, 16 slots": lambda servers: _change(
        servers, _find(servers, 16)._replace(started_ms=1_700_000_000_000)
    ),
    "4 to 9 slots": lambda servers: _change(servers, _find(servers, 4)._replace(slots=9)),
    "9 to 4 slots": lambda servers: _change(servers, _find(servers, 9)._replace(slots=4)),
}


def _rank(servers: Servers) -> Ranking:
    fleet = Fleet(region_of=REGION_OF)
    fleet.update(servers.values())
    return Ranking(fleet=fleet, own_domain=OWN_DOMAIN, own_region=REGION_OF[OWN_DOMAIN])


def _firsts(order: KeyOrder) -> Firsts:
    def first(of: Callable[[int], bool]) -> str:
        found = (place for place in range(len(order.ranked)) if of(place))
        place = next(found, None)
        return "" if place is None else order.ranked[place].candidate.entry.server_id

    return Firsts(
        first(lambda place: True),
        first(lambda place: order.ranked[place].in_region),
        first(lambda place: order.ranked[place].in_domain),
    )


def place_keys(servers: Servers, keys: int) -> list[Firsts]:
    """Return the first backend servers of each key."""
    ranking = _rank(servers)
    return [_firsts(ranking.order_candidates("desk", str(key), None)) for key in range(keys)]


def slot_shares(servers: Servers, scope: str = "all") -> Mapping[str, float]:
    """Return the share of the slots that each usable backend server of a scope has."""
    slots = {
        entry.server_id: entry.slots
        for entry in servers.values()
        if not entry.draining
        and (
            scope == "all"
            or entry.failure_domain == OWN_DOMAIN
            or (scope == "region" and REGION_OF[entry.failure_domain] == REGION_OF[OWN_DOMAIN])
        )
    }
    total = sum(slots.values())
    return {server: count / total for server, count in slots.items()}


def least_moves(before: Mapping[str, float], after: Mapping[str, float]) -> float:
    """Return the least possible fraction of moved keys between two sets of shares."""
    return sum(abs(after.get(name, 0.0) - before.get(name, 0.0)) for name in {*before, *after}) / 2


def measure_order_us(servers: int, slots: Sequence[int]) -> float:
    """Return the median time of the first order of a key, in microseconds."""
    ranking = _rank(make_servers(servers, slots))
    took = []
    for key in range(COST_KEYS):
        began = time.perf_counter()
        ranking.order_candidates("desk", str(key), None)
        took.append(time.perf_counter() - began)
    return 1e6 * median(took)


def measure_change_us(servers: int, slots: Sequence[int]) -> float:
    """Return the median time of a key's order after a server was added, in microseconds."""
    entries = make_servers(servers, slots)
    fleet = Fleet(region_of=REGION_OF)
    fleet.update(entries.values())
    ranking = Ranking(fleet=fleet, own_domain=OWN_DOMAIN, own_region=REGION_OF[OWN_DOMAIN])
    for key in range(COST_KEYS):
        ranking.order_candidates("desk", str(key), None)
    added = make_entry(9999, slots=slots[0], domain=OWN_DOMAIN)
    fleet.update([*entries.values(), added])
    took = []
    for key in range(COST_KEYS):
        began = time.perf_counter()
        ranking.order_candidates("desk", str(key), None)
        took.append(time.perf_counter() - began)
    return 1e6 * median(took)


def run(short: bool) -> list[str]:
    """Count the moves of each change.

    Raises:
        AssertionError: A restart under the old id moves keys.
    """
    logger.disable("wagtailpoint")
    keys = SHORT_KEYS if short else FULL_KEYS
    servers = make_servers(SERVERS)
    before = place_keys(servers, keys)
    shares = slot_shares(servers)
    counts = Counter(firsts.all for firsts in before)
    lines = ["slots  share of keys / share of slots, mean of the servers of that size"]
    for size in SLOTS:
        of_size = [name for name, entry in servers.items() if entry.slots == size]
        ratio = sum(counts[name] / keys / shares[name] for name in of_size) / len(of_size)
        lines.append(f"{size:5} {ratio:8.2f}")
    lines.append("change               scope   least %  moved %")
    for name, change in CHANGES.items():
        changed = change(servers)
        after = place_keys(changed, keys)
        for scope in SCOPES:
            least = least_moves(slot_shares(servers, scope), slot_shares(changed, scope))
            moved = sum(
                getattr(old, scope) != getattr(new, scope)
                for old, new in zip(before, after, strict=True)
            )
            assert least or not moved, f"{name}: moved {moved} keys, expected none"
            lines.append(f"{name:20} {scope:7} {100 * least:7.2f} {100 * moved / keys:8.2f}")
    lines.append("servers  slots  first order of a key us  after an added server us")
    for count in COST_SERVERS:
        for name, slots in (("equal", (9,)), ("mixed", SLOTS)):
            first_us, changed_us = measure_order_us(count, slots), measure_change_us(count, slots)
            lines.append(f"{count:7}  {name} {first_us:23.0f} {changed_us:25.0f}")
    logger.enable("wagtailpoint")
    return lines


if __name__ == "__main__":
    print("\n".join(run(short=False)))
