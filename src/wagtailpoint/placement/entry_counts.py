"""Numbers of instances that share the requests of callers."""

from typing import NamedTuple, Protocol


class EntryCounts(Protocol):
    """Numbers of instances that lookups return to callers, each at least 1."""

    @property
    def everywhere(self) -> int:
        """The number in all regions."""
        ...

    @property
    def in_region(self) -> int:
        """The number in the region of this instance, which share the region's callers."""
        ...

    @property
    def in_domain(self) -> int:
        """The number in this instance's failure domain, which share the domain's callers."""
        ...


class FixedEntryCounts(NamedTuple):
    """Constant counts for models and tests."""

    everywhere: int
    in_region: int
    in_domain: int
