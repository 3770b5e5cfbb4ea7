"""What shows that a former holder will never spend its share again."""

from enum import Enum
from typing import Protocol

from wagtailpoint.limits.lease import Holder


class Evidence(Enum):
    """Why a process is surely gone. That it gave up, it writes into the seat itself."""

    OTHER_INCARNATION = "other-incarnation"
    """Another process answered at its address, to a question sent after it had held the seat."""

    DROPPED = "dropped"
    """The platform's list has been without it for longer than a margin. Sound only as far as the
    platform drops no instance that still runs, is awake, and is cut off from the platform."""


class HolderCheck(Protocol):
    """Looks for evidence that a process is gone."""

    async def evidence(self, holder: Holder) -> Evidence | None:
        """Return why the process is surely gone; None if it may still run."""
        ...
