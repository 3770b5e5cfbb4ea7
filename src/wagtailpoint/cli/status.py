"""Parses the parts of the answer to ``GET /v1/status`` that the tool uses."""

from typing import Any, NamedTuple

from wagtailpoint.cli.profile import EntryAddress

GONE_STATES = frozenset({"leaving", "left", "dead"})


class Member(NamedTuple):
    """The state of one instance, as reported by itself or by another instance.

    Attributes:
        entry: Address and port at which it listens for HTTP.
        incarnation: Random identifier that is drawn at each process start.
        region: Name of its region.
        failure_domain: Name of its failure domain.
        state: State in the membership, for example ``live`` or ``leaving``.
        config_version: Version of the configuration that it enforces; None if unknown.
        load: From 0 (idle) to 1; coarse and slightly outdated; None if unknown.
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
        """Whether a change counts as in force only when this instance enforces it."""
        return self.state not in GONE_STATES


def read_members(status: Any) -> list[Member]:
    """Return all instances in a status: first the answering one, then the members that it knows.

    Items that can't be parsed are skipped, so that an instance that runs another version of the
    program does not hide the rest from the operator.
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
