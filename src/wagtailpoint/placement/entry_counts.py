"""How many instances get the callers' requests."""

from typing import NamedTuple, Protocol


class EntryCounts(Protocol):
    """How many instances callers are told to use, at least 1 each."""

    @property
    def everywhere(self) -> int:
        """In all regions."""
        ...

    @property
    def in_region(self) -> int:
        """In the region of this instance; they share its callers."""
        ...

    @property
    def in_domain(self) -> int:
        """In the failure domain of this instance; they share its callers."""
        ...


class FixedEntryCounts(NamedTuple):
    """Counts that do not change, for models and tests."""

    everywhere: int
    in_region: int
    in_domain: int
