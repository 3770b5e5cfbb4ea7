"""JSON texts that another writer may leave in a store, and that can't be used."""

from typing import Final

NESTED: Final = "[" * 5000 + "]" * 5000
"""Valid JSON, but nested more deeply than decoders and encoders recurse."""

SURROGATE: Final = r'"\udcff"'
"""Valid JSON, but no character: how Python writes a byte that is not UTF-8."""

LARGE_INTEGER: Final = str(2**127)
"""Valid JSON, but more than the 64 bits of an integer in MessagePack."""

UNREADABLE: Final = (
    NESTED,
    '{"a":' * 5000 + "1" + "}" * 5000,
    "[" * 100 + "]" * 100,
    SURROGATE,
    r'{"\ud800":1}',
    LARGE_INTEGER,
    f'{{"Id":-{LARGE_INTEGER}}}',
    f"[{2**64}]",
    "1e999",
    "1" * 5000,
    "NaN",
    '"\x01"',
)
"""Values that can't be decoded, or not be used afterwards."""
