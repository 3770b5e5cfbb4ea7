"""Revisions of the store, which order its states."""

from typing import Final, NamedTuple


class Revision(NamedTuple):
    """A state of the store.

    The store may return to an earlier copy of its contents, which begins a new era. The numbers of
    changes that were lost are given out again then, so that numbers of different eras can't be
    compared: revisions are ordered by era first.

    Attributes:
        era: The number of returns to a copy before this state.
        number: Rises with each change within an era.
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}/{self.number}" if self.era else str(self.number)


NO_REVISION: Final = Revision(0, 0)
"""Before all states of the store."""
