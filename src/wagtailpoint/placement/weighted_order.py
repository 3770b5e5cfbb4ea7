"""Weighted rendezvous hashing: the order of backend servers for a key, by hashes and slots.

Each server has an exponentially distributed distance from each key, with its slots as the rate. A
server is the nearest one of a key with a probability proportional to its slots, and a change of one
server changes only its own distances.
"""

from collections.abc import Sequence
from decimal import Context, Decimal
from math import log, log1p
from typing import Final

_HALF: Final = 1 << 63
_MAX_HASH: Final = (1 << 64) - 1
_INVERSE_SCALE: Final = 0.5**64
"""Hashes ``h`` are mapped to ``u = (h + 0.5) / 2^64``, which is neither 0 nor 1."""

_MIN_GAP_FRACTION: Final = 1e-12
"""Relative difference below which distances are compared exactly. The floating-point ones have a
relative error of about 1e-15, which depends on the machine's mathematical library."""

_EXACT: Final = Context(prec=90)
"""A mapped hash has up to 65 decimal digits, so its logarithm is computed from its exact value."""


def order_by_distance(hashes: Sequence[int], slots: Sequence[int]) -> list[int]:
    """Return the positions of the servers, the nearest one first; the same on all machines.

    With equal slots this is the order of descending hashes, as of unweighted rendezvous hashing.

    Args:
        hashes: The 64-bit hash of the key with each server.
        slots: The slots of each server, at least 1.
    """
    if not slots or slots.count(slots[0]) == len(slots):
        # The sort is stable with reverse=True too: equal hashes keep the order of the servers.
        return sorted(range(len(hashes)), key=hashes.__getitem__, reverse=True)
    # ln(u) / slots is the negative distance. Near 1 the logarithm is computed from 1 - u, since u
    # would be rounded.
    nearness = [
        (
            log((value + 0.5) * _INVERSE_SCALE)
            if value < _HALF
            else log1p((value - _MAX_HASH - 0.5) * _INVERSE_SCALE)
        )
        / count
        for value, count in zip(hashes, slots, strict=True)
    ]
    order = sorted(range(len(hashes)), key=nearness.__getitem__, reverse=True)
    previous = 0.0
    for place in order:
        current = nearness[place]
        if previous - current <= -_MIN_GAP_FRACTION * current:
            return _order_exactly(hashes, slots)
        previous = current
    return order


def _order_exactly(hashes: Sequence[int], slots: Sequence[int]) -> list[int]:
    """Order by distances with 90 digits; decimal logarithms are the same on all machines."""

    def distance(place: int) -> Decimal:
        mapped = _EXACT.divide(Decimal(2 * hashes[place] + 1), Decimal(1 << 65))
        return _EXACT.divide(_EXACT.minus(_EXACT.ln(mapped)), Decimal(slots[place]))

    return sorted(range(len(hashes)), key=distance)
