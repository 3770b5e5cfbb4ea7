"""Measures lookups with many client blocks: memory of the table, cost of a lookup and a change."""

import random
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from ipaddress import ip_network
from socket import inet_aton

from result import Ok

from wagtailpoint.config.blocks import BlockList, RegionBlocks
from wagtailpoint.config.model import ClientBlock, EffectiveConfig, Region, Workspace
from wagtailpoint.lookup.answer import EntryView
from wagtailpoint.lookup.blocks import ClientBlocks
from wagtailpoint.lookup.table import LookupTable

SEED = 11
REGIONS = tuple(f"region-{number}" for number in range(4))
DOMAINS = 14
ENTRIES_FULL = 490
BLOCKS_FULL = 440_000
BLOCKS_SHORT = 20_000
BLOCKS_SMALL = 1_000
CLIENTS = 2_000
CHANGED = 10
BLOCKS_PER_OBJECT = 8_700
MAX_BYTES_TO_DICT_RATIO = 0.3
MAX_CHANGE_TO_BUILD_RATIO = 0.5
MAX_COST_GROWTH = 4.0
_US_PER_S = 1e6
_MS_PER_S = 1e3

_Figures = dict[str, dict[str, float]]
_last: _Figures = {}


def generate_client_blocks(count: int) -> list[ClientBlock]:
    """Generate realistic blocks: nine tenths IPv4 of /16 to /26, some nested, the rest IPv6."""
    rng = random.Random(SEED)
    blocks_by_network: dict[str, ClientBlock] = {}
    while len(blocks_by_network) < count:
        region = rng.choice(REGIONS)
        if rng.random() < 0.9:
            length = rng.choice((16, 20, 22, 23, 24, 24, 24, 25, 26))
            number = rng.getrandbits(length) << (32 - length)
            text = ".".join(str(octet) for octet in number.to_bytes(4, "big"))
        else:
            length = rng.choice((32, 40, 48, 48, 56))
            number = (0x2 << 124 | rng.getrandbits(length) << (128 - length)) % (1 << 128)
            number = number >> (128 - length) << (128 - length)
            text = ":".join(f"{number >> shift & 0xFFFF:x}" for shift in range(112, -1, -16))
        network = f"{text}/{length}"
        blocks_by_network[network] = ClientBlock(network, region)
    return list(blocks_by_network.values())


def split_into_objects(blocks: list[ClientBlock]) -> list[RegionBlocks]:
    """Split blocks into objects of one region each, as the configuration contains them."""
    parts = []
    for region in REGIONS:
        networks = tuple(block.network for block in blocks if block.region == region)
        for begin in range(0, len(networks), BLOCKS_PER_OBJECT):
            parts.append(RegionBlocks(region, networks[begin : begin + BLOCKS_PER_OBJECT]))
    return parts


def _clients(rng: random.Random) -> list[str]:
    return [
        ".".join(str(octet) for octet in rng.getrandbits(32).to_bytes(4, "big"))
        for _ in range(CLIENTS)
    ]


def _entries() -> list[EntryView]:
    return [
        EntryView(
            address=f"127.0.{number // 250}.{number % 250 + 1}",
            port=7180,
            region=REGIONS[number % DOMAINS % len(REGIONS)],
            failure_domain=f"domain-{number % DOMAINS}",
            incarnation=f"{number:016x}",
            epoch=1,
            leaving=False,
            alive=True,
            load=number % 10 / 10,
        )
        for number in range(ENTRIES_FULL)
    ]


def _config(blocks: list[ClientBlock]) -> EffectiveConfig:
    regions = {
        name: Region(
            name,
            tuple(f"domain-{n}" for n in range(DOMAINS) if n % len(REGIONS) == index),
            {neighbour: 20.0 + index for neighbour in REGIONS if neighbour != name},
            None,
        )
        for index, name in enumerate(REGIONS)
    }
    workspace = Workspace("w", "t", (), {}, None)
    return EffectiveConfig(1, regions, {}, {"w": workspace}, {}, {}, tuple(blocks))


def _best_s(action: Callable[[], object], *, rounds: int = 3) -> float:
    """Return the shortest time of several runs, which other load disturbed least."""
    best = float("inf")
    for _ in range(rounds):
        started_at = time.perf_counter()
        action()
        best = min(best, time.perf_counter() - started_at)
    return best


def _traced_bytes(build: Callable[[], object]) -> int:
    tracemalloc.start()
    built = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return size


class _DictOfPrefixes:
    """The baseline: one dict for each prefix length, searched from the longest prefix on."""

    def __init__(self, *, blocks: list[ClientBlock]) -> None:
        by_length: dict[tuple[int, int], dict[int, str]] = {}
        for block in blocks:
            network = ip_network(block.network)
            key = (network.version, network.prefixlen)
            first = int(network.network_address) >> (network.max_prefixlen - network.prefixlen)
            by_length.setdefault(key, {})[first] = block.region
        self._ipv4 = [
            (32 - length, regions_by_prefix)
            for (version, length), regions_by_prefix in sorted(by_length.items(), reverse=True)
            if version == 4
        ]
        self._all = by_length

    def find(self, address: str) -> str | None:
        number = int.from_bytes(inet_aton(address), "big")
        for shift, regions_by_prefix in self._ipv4:
            region = regions_by_prefix.get(number >> shift)
            if region is not None:
                return region
        return None


def _find_all(table: ClientBlocks | _DictOfPrefixes, clients: list[str]) -> None:
    for client in clients:
        table.find(client)


def _answer_all(table: LookupTable, clients: list[str]) -> None:
    for client in clients:
        assert isinstance(table.answer(workspace="w", address=client), Ok)


def _change(table: ClientBlocks, parts: list[RegionBlocks]) -> ClientBlocks:
    moved, rest = parts[-1].networks[:CHANGED], parts[-1].networks[CHANGED:]
    changed = [RegionBlocks(REGIONS[0], moved), RegionBlocks(parts[-1].region, rest)]
    return table.with_blocks(BlockList(parts=[*parts[:-1], *changed]))


def _measure(count: int) -> dict[str, float]:
    blocks = generate_client_blocks(count)
    config = _config(blocks)
    clients = _clients(random.Random(SEED + 1))
    parts = split_into_objects(blocks)
    built = ClientBlocks(blocks=BlockList(parts=parts))
    table = LookupTable(config=config, own_failure_domain="domain-0", blocks=built)
    plain = _DictOfPrefixes(blocks=blocks)
    assert [plain.find(c) for c in clients] == [built.find(c) for c in clients], "tables differ"
    entries = _entries()
    table.update(entries)
    build_s = _best_s(partial(ClientBlocks, blocks=blocks), rounds=1 if count > 100_000 else 3)
    return {
        "blocks": float(count),
        "ranges": float(len(built)),
        "bytes": float(built.bytes_used),
        "dict_bytes": float(_traced_bytes(partial(_DictOfPrefixes, blocks=blocks))),
        "dict_us": _best_s(partial(_find_all, plain, clients)) / CLIENTS * _US_PER_S,
        "find_us": _best_s(partial(_find_all, built, clients)) / CLIENTS * _US_PER_S,
        "answer_us": _best_s(partial(_answer_all, table, clients)) / CLIENTS * _US_PER_S,
        "view_ms": _best_s(partial(table.update, entries)) * _MS_PER_S,
        "build_ms": build_s * _MS_PER_S,
        "change_ms": _best_s(partial(_change, built, parts)) * _MS_PER_S,
    }


def run(short: bool) -> list[str]:
    """Measure a small and a large table.

    Raises:
        AssertionError: A bound is exceeded.
    """
    small = _measure(BLOCKS_SMALL)
    large = _measure(BLOCKS_SHORT if short else BLOCKS_FULL)
    names = list(small)
    lines = [" ".join(f"{name:>11}" for name in names)]
    for row in (small, large):
        lines.append(" ".join(f"{row[name]:>11.1f}" for name in names))
    _last.clear()
    _last["microseconds for an answer"] = {
        f"{row['blocks']:.0f} blocks": row["answer_us"] for row in (small, large)
    }
    _last["bytes"] = {"sorted arrays": large["bytes"], "dict for each length": large["dict_bytes"]}
    dict_ratio = large["bytes"] / large["dict_bytes"]
    assert dict_ratio <= MAX_BYTES_TO_DICT_RATIO, f"bytes relative to a dict: {dict_ratio:.2f}"
    growth = large["find_us"] / small["find_us"]
    assert growth <= MAX_COST_GROWTH, f"cost of a lookup relative to a small table: {growth:.2f}"
    change_ratio = large["change_ms"] / large["build_ms"]
    assert (
        change_ratio <= MAX_CHANGE_TO_BUILD_RATIO
    ), f"time of a change relative to a rebuild: {change_ratio:.2f}"
    return lines


def figures() -> _Figures:
    """Return the results of the last run, for the plot."""
    return _last
