"""Selects the entry instances for a caller: nearest region first, weighted by free capacity."""

import math
from bisect import bisect_right
from collections.abc import Sequence
from hashlib import blake2b
from http import HTTPStatus
from itertools import accumulate
from struct import unpack
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse
from wagtailpoint.config.model import EffectiveConfig
from wagtailpoint.errors import InvalidInput
from wagtailpoint.idempotency.binding import Binding
from wagtailpoint.lookup.answer import EntryView, LookupAnswer, LookupEntry
from wagtailpoint.lookup.blocks import ClientBlocks

DEFAULT_TTL_S = 2.0
MAX_ENTRIES = 6
MIN_WEIGHT = 0.05
_RETRY_AFTER_S = 1.0


class _Domain(NamedTuple):
    """The usable entries of one failure domain, with the cumulative sums of their weights."""

    entries: tuple[LookupEntry, ...]
    sums: tuple[float, ...]

    @property
    def weight(self) -> float:
        return self.sums[-1]


class LookupTable:
    """Answers lookups from memory, without any input or output."""

    def __init__(
        self,
        *,
        config: EffectiveConfig,
        own_failure_domain: str,
        ttl_s: float = DEFAULT_TTL_S,
        blocks: ClientBlocks | None = None,
        seed: int = 0,
    ) -> None:
        """Initialise a table without entries, which answers 503 until ``update`` is called.

        Args:
            config: The effective configuration.
            own_failure_domain: This instance's failure domain; clients in no block count as
                clients of its region.
            ttl_s: How long callers may cache an answer, in seconds. A leaving entry still gets
                requests for this time.
            blocks: The table of the configuration's client blocks, if it was built before (see
                ``ClientBlocks.with_blocks``).
            seed: Seed of the weighted choice. All instances use the same, so that they give a
                caller the same entries.
        """
        self._config = config
        self._blocks = ClientBlocks(blocks=config.client_blocks) if blocks is None else blocks
        self._ttl_s = ttl_s
        self._seed = seed
        self._own_region = _region_of(config, own_failure_domain)
        self._orders = {name: _regions_by_latency(config, name) for name in config.regions}
        self._domains: dict[str, list[_Domain]] = {}

    @property
    def blocks(self) -> ClientBlocks:
        """The table of client blocks."""
        return self._blocks

    def update(self, entries: Sequence[EntryView]) -> None:
        """Replace the view of all entry instances; cheap enough to be called for every change."""
        usable: dict[tuple[str, str], list[EntryView]] = {}
        for entry in entries:
            if entry.alive and not entry.leaving:
                usable.setdefault((entry.region, entry.failure_domain), []).append(entry)
        domains: dict[str, list[_Domain]] = {}
        for (region, _), members in sorted(usable.items()):
            domains.setdefault(region, []).append(_weigh_entries(members))
        self._domains = domains

    def answer(self, *, workspace: str, address: str) -> Result[LookupAnswer, Refusal]:
        """Return the entries for a client of a workspace, best first."""
        if workspace not in self._config.workspaces:
            return Err(_unknown_workspace(workspace))
        try:
            region = self._blocks.find(address) or self._own_region
        except InvalidInput as invalid:
            return Err(_bad_address(invalid))
        if not self._domains:
            return Err(_not_ready())
        return Ok(
            LookupAnswer(
                config_version=self._config.version,
                ttl_s=self._ttl_s,
                entries=self._rank(region, address),
            )
        )

    def _rank(self, region: str, address: str) -> list[LookupEntry]:
        # The draws depend on the client's address: a client always gets the same entries and can
        # reuse its connections, and all clients together spread by weight however long they cache.
        draws = _HashDraws(f"{self._seed} {address}")
        ranked: list[LookupEntry] = []
        for name in self._orders.get(region, ()):
            ranked += _pick_entries(self._domains.get(name, []), draws)
            if len(ranked) >= MAX_ENTRIES:
                break
        return ranked[:MAX_ENTRIES]


class _HashDraws:
    """Uniform draws from a hash, above 0 and up to 1; cheaper than seeding a generator."""

    def __init__(self, text: str) -> None:
        self._text = text.encode()
        self._round = 0
        self._unused: list[int] = []

    def next(self) -> float:
        if not self._unused:
            digest = blake2b(self._text, salt=self._round.to_bytes(4, "big")).digest()
            self._unused = list(unpack(">16I", digest))
            self._round += 1
        return (self._unused.pop() + 1) / (1 << 32)


def _pick_entries(domains: list[_Domain], draws: _HashDraws) -> list[LookupEntry]:
    """Pick an entry of each failure domain, then a second one, the domains in weighted order."""
    # Sorting by exponential draws divided by weights is weighted sampling without replacement.
    order = sorted(domains, key=lambda domain: -math.log(draws.next()) / domain.weight)
    firsts = [_draw_entry(domain, draws) for domain in order]
    seconds = [_draw_entry(domain, draws) for domain in order]
    return firsts + [entry for entry in seconds if entry not in firsts]


def _draw_entry(domain: _Domain, draws: _HashDraws) -> LookupEntry:
    index = bisect_right(domain.sums, draws.next() * domain.weight)
    return domain.entries[min(index, len(domain.entries) - 1)]


def _weigh_entries(members: list[EntryView]) -> _Domain:
    members = sorted(members)
    # Fully loaded entries keep a small weight: reports lag, and a load of 1 may be over.
    weights = [max(MIN_WEIGHT, 1.0 - member.load) for member in members]
    return _Domain(tuple(_lookup_entry(member) for member in members), tuple(accumulate(weights)))


def _lookup_entry(entry: EntryView) -> LookupEntry:
    return LookupEntry(
        address=entry.address,
        port=entry.port,
        failure_domain=entry.failure_domain,
        binding=str(Binding(entry.incarnation, entry.epoch)),
    )


def _region_of(config: EffectiveConfig, failure_domain: str) -> str:
    for region in config.regions.values():
        if failure_domain in region.failure_domains:
            return region.name
    return min(config.regions, default="")


def _regions_by_latency(config: EffectiveConfig, name: str) -> tuple[str, ...]:
    latency = config.regions[name].latency_ms
    infinity = float("inf")
    others = sorted(
        config.regions.keys() - {name}, key=lambda other: (latency.get(other, infinity), other)
    )
    return (name, *others)


def _unknown_workspace(workspace: str) -> Refusal:
    return refuse(
        HTTPStatus.NOT_FOUND,
        RefusalCode.UNKNOWN_WORKSPACE,
        f"the workspace {workspace[:80]!r} is not configured",
        _RETRY_AFTER_S,
    )


def _bad_address(invalid: InvalidInput) -> Refusal:
    return refuse(
        HTTPStatus.BAD_REQUEST,
        RefusalCode.BAD_REQUEST,
        str(invalid),
        _RETRY_AFTER_S,
    )


def _not_ready() -> Refusal:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.NOT_READY,
        "this instance does not know any live entry yet; ask another one",
        _RETRY_AFTER_S,
    )
