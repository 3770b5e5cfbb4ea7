"""What was known of a kind before the store returned to a copy, where the copy says otherwise."""

from collections.abc import ItemsView, Mapping
from typing import NamedTuple

from wagtailpoint.ports.platform import StoredObject


class Carried(NamedTuple):
    """What is believed of one object instead of what the store has.

    Attributes:
        stored: The object; None if it was removed.
        until: The time at which the belief ends, in seconds.
    """

    stored: StoredObject | None
    until: float


class CarriedObjects:
    """Beliefs of earlier eras, each until the store has news of its object or time has passed."""

    def __init__(self) -> None:
        self._by_name: dict[str, Carried] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def items(self) -> ItemsView[str, Carried]:
        """Return what is believed, by name."""
        return self._by_name.items()

    def get(self, name: str) -> Carried | None:
        """Return what is believed of an object; None if the store is believed."""
        return self._by_name.get(name)

    def set(self, name: str, carried: Carried) -> None:
        """Believe something else than the store of an object."""
        self._by_name[name] = carried

    def drop(self, name: str) -> None:
        """Believe the store of an object."""
        self._by_name.pop(name, None)

    def clear(self) -> None:
        """Believe the store of all objects."""
        self._by_name.clear()

    def expired(self, now: float) -> list[str]:
        """Return the names of the objects of which the store is to be believed from now on."""
        return [name for name, carried in self._by_name.items() if carried.until <= now]

    def over(self, objects: Mapping[str, StoredObject]) -> Mapping[str, StoredObject]:
        """Return the objects of the store, replaced by what is believed instead."""
        if not self._by_name:
            return objects
        believed = dict(objects)
        for name, carried in self._by_name.items():
            if carried.stored is None:
                believed.pop(name, None)
            else:
                believed[name] = carried.stored
        return believed
