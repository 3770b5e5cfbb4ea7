"""The answer of ``GET /v1/status``, as far as the tool understands it."""

from typing import Any, NamedTuple

from wagtailpoint.cli.profile import EntryAddress

GONE_STATES = frozenset({"leaving", "left", "dead"})


class Member(NamedTuple):
    """One instance, as it says itself or as another instance sees it.

    Attributes:
        entry: Where it listens for HTTP.
        incarnation: Random at each process start.
        region: Where it runs.
        failure_domain: Where it runs.
        state: For example ``live`` or ``leaving``.
        config_version: The configuration that it enforces; None if not known.
        load: 0 (idle) to 1, coarse and late; None if not known.
    """

    entry: EntryAddress
    incarnation: str
    region: str
    failure_domain: str
    state: str
    config_version: int | None
    load: float | None

    @property
    def must_enforce(self) -> bool:
        """Whether a change is in force only once this instance enforces it."""
        return self.state not in GONE_STATES


def read_members(status: Any) -> list[Member]:
    """All instances in a status: the one that answers first, then those it sees.

    What can't be understood is left out: an instance of another version of the program must not
    stop an operator from seeing the rest.
    """
    if not isinstance(status, dict):
        return []
    own = status.get("instance")
    version = status.get("config_version")
    answering = [own | {"config_version": version}] if isinstance(own, dict) else []
    seen = status.get("members")
    listed = seen if isinstance(seen, list) else []
    members: dict[tuple[EntryAddress, str], Member] = {}
    for item in [*answering, *listed]:
        member = _read_member(item)
        if member is not None:
            members.setdefault((member.entry, member.incarnation), member)
    return list(members.values())


def _read_member(item: Any) -> Member | None:
    if not isinstance(item, dict):
        return None
    address, port = item.get("address"), item.get("port")
    if not isinstance(address, str) or not isinstance(port, int):
        return None
    version, load = item.get("config_version"), item.get("load")
    return Member(
        entry=EntryAddress(address, port),
        incarnation=str(item.get("incarnation", "")),
        region=str(item.get("region", "")),
        failure_domain=str(item.get("failure_domain", "")),
        state=str(item.get("state", "")),
        config_version=version if isinstance(version, int) else None,
        load=load if isinstance(load, int | float) else None,
    )
