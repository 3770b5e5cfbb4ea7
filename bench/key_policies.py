"""Compares ways to assign keys to servers by slots, on the same keys: moves, evenness, cost.

python -m bench.key_policies
"""

import time
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Final, NamedTuple

from wagtailpoint.placement.weighted_order import order_by_distance
from wagtailpoint.rendezvous import rendezvous_score

SLOTS: Final = (2, 4, 9, 16)
SIZES: Final = (36, 400, 2000)
KEYS: Final = {36: 20_000, 400: 8_000, 2000: 1_000}
MAGLEV_ROWS: Final = 65_537
"""The smaller of the two prime table sizes that Eisenbud et al. (2016) evaluate."""

RING_POINTS_PER_SLOT: Final = 10
RING_LOAD_FACTOR: Final = 1.25
"""The bound of Mirrokni, Thorup and Zadimoghaddam (2018): a server gets at most this multiple of
its share of the keys."""

Slots = Mapping[str, int]


class Policy(NamedTuple):
    """A way to assign keys.

    Attributes:
        prepare: Returns the state for some servers.
        choose: Returns the server of a key from the state.
    """

    prepare: Callable[[Slots, int], object]
    choose: Callable[..., str]


def _unweighted(slots: Slots, keys: int) -> list[str]:
    return list(slots)


def _choose_unweighted(servers: list[str], key: str) -> str:
    return max(servers, key=lambda server: rendezvous_score(key, server))


def _weighted(slots: Slots, keys: int) -> tuple[list[str], list[int]]:
    return list(slots), list(slots.values())


def _choose_weighted(state: tuple[list[str], list[int]], key: str) -> str:
    servers, slots = state
    return servers[order_by_distance([rendezvous_score(key, name) for name in servers], slots)[0]]


def _maglev(slots: Slots, keys: int) -> list[str]:
    """Fill a lookup table by turns; a server has as many turns in a round as it has slots."""
    table = [""] * MAGLEV_ROWS
    rows = {name: rendezvous_score("offset", name) % MAGLEV_ROWS for name in slots}
    skips = {name: rendezvous_score("skip", name) % (MAGLEV_ROWS - 1) + 1 for name in slots}
    left = MAGLEV_ROWS
    while True:
        for name, turns in slots.items():
            row, skip = rows[name], skips[name]
            for _ in range(turns):
                while table[row]:
                    row = (row + skip) % MAGLEV_ROWS
                table[row] = name
                left -= 1
                if not left:
                    return table
            rows[name] = row


def _choose_maglev(table: list[str], key: str) -> str:
    return table[rendezvous_score(key, "") % MAGLEV_ROWS]


class _Ring:
    """A ring with bounded loads. A key's place depends on the keys that were assigned before it."""

    def __init__(self, slots: Slots, keys: int) -> None:
        points = sorted(
            (rendezvous_score(name, str(point)), name)
            for name, count in slots.items()
            for point in range(count * RING_POINTS_PER_SLOT)
        )
        self._points = [point for point, _ in points]
        self._names = [name for _, name in points]
        total = sum(slots.values())
        self._room = {
            name: int(RING_LOAD_FACTOR * keys * count / total) + 1 for name, count in slots.items()
        }

    def choose(self, key: str) -> str:
        """Assign a key to the first server on the ring that has room for one more."""
        place = bisect_right(self._points, rendezvous_score(key, ""))
        while not self._room[name := self._names[place % len(self._names)]]:
            place += 1
        self._room[name] -= 1
        return name


POLICIES: Final[Mapping[str, Policy]] = {
    "rendezvous, unweighted": Policy(_unweighted, _choose_unweighted),
    "rendezvous, weighted": Policy(_weighted, _choose_weighted),
    "Maglev table": Policy(_maglev, _choose_maglev),
    "ring, bounded loads": Policy(_Ring, _Ring.choose),
}


def _changes(slots: Slots) -> Mapping[str, Slots]:
    """Return the servers after each change, which concerns 16 slots each."""
    largest = next(name for name, count in slots.items() if count == 16)
    return {
        "added": {**slots, "i-new": 16},
        "removed": {name: count for name, count in slots.items() if name != largest},
        "16 to 32 slots": {**slots, largest: 32},
    }


def _least_moves(before: Slots, after: Slots) -> float:
    old, new = sum(before.values()), sum(after.values())
    return sum(max(0.0, count / new - before.get(name, 0) / old) for name, count in after.items())


def _assign(policy: Policy, slots: Slots, keys: Sequence[str]) -> tuple[list[str], float, float]:
    """Return the servers of the keys, the seconds of the preparation and of a choice."""
    began = time.perf_counter()
    state = policy.prepare(slots, len(keys))
    prepared = time.perf_counter()
    chosen = [policy.choose(state, key) for key in keys]
    return chosen, prepared - began, (time.perf_counter() - prepared) / len(keys)


def _evenness(chosen: Sequence[str], slots: Slots) -> Mapping[int, float]:
    """Return the share of keys divided by the share of slots, for all servers of a size."""
    counts, total = Counter(chosen), sum(slots.values())
    ratios = {}
    for size in SLOTS:
        names = [name for name, count in slots.items() if count == size]
        share = size * len(names) / total
        ratios[size] = sum(counts[name] for name in names) / len(chosen) / share
    return ratios


def _worst(chosen: Sequence[str], slots: Slots) -> float:
    """Return the largest share of keys divided by the share of slots of any server."""
    counts, total = Counter(chosen), sum(slots.values())
    return max(counts[name] / len(chosen) * total / count for name, count in slots.items())


def _differing(first: Sequence[str], second: Sequence[str]) -> str:
    differing = sum(one != other for one, other in zip(first, second, strict=True))
    return f"{100 * differing / len(first):.2f} % of the keys elsewhere"


def run(short: bool) -> list[str]:
    """Measure each policy.

    Raises:
        AssertionError: Weighted rendezvous hashing moves keys between servers that stay.
    """
    lines = []
    for size in SIZES[:1] if short else SIZES:
        slots = {f"i-{number:04x}": SLOTS[number % 4] for number in range(size)}
        keys = [f"/r/{key}" for key in range(KEYS[size] // (10 if short else 1))]
        lines.append(f"{size} servers, {len(keys)} keys: share of keys / share of slots by size")
        for name, policy in POLICIES.items():
            before, change_s, choice_s = _assign(policy, slots, keys)
            ratios = _evenness(before, slots)
            text = " ".join(f"{count}: {ratio:.2f}" for count, ratio in ratios.items())
            lines.append(
                f"  {name:22} {text}; worst server {_worst(before, slots):.2f}; "
                f"choice {1e6 * choice_s:.1f} us, change {1e3 * change_s:.1f} ms"
            )
            backwards, _, _ = _assign(policy, slots, keys[::-1])
            lines.append(f"    other order of the keys: {_differing(before, backwards[::-1])}")
            for change, after_slots in _changes(slots).items():
                after, _, _ = _assign(policy, after_slots, keys)
                moved = [new for old, new in zip(before, after, strict=True) if old != new]
                least = _least_moves(slots, after_slots)
                lines.append(
                    f"    {change:16} moved {100 * len(moved) / len(keys):6.2f} %, "
                    f"least possible {100 * least:.2f} %"
                )
                if name == "rendezvous, weighted" and change == "added":
                    assert set(moved) <= {"i-new"}, f"keys moved to {set(moved)}"
        unweighted, _, _ = _assign(POLICIES["rendezvous, unweighted"], slots, keys)
        weighted, _, _ = _assign(POLICIES["rendezvous, weighted"], slots, keys)
        lines.append(f"  unweighted and weighted: {_differing(unweighted, weighted)}")
    return lines


if __name__ == "__main__":
    print("\n".join(run(short=False)))
