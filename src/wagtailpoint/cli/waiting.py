"""Implements ``--wait``: waits until every live instance enforces a version."""

from collections.abc import Callable
from typing import Any, NamedTuple

import trio
from result import Err, Ok

from wagtailpoint.cli.output import format_table
from wagtailpoint.cli.profile import EntryAddress
from wagtailpoint.cli.session import Session
from wagtailpoint.cli.status import Member, read_members
from wagtailpoint.ports.platform import ListedInstance

POLL_INTERVAL_S = 0.2
LIST_INTERVAL_S = 1.0


class WaitReport(NamedTuple):
    """The instances that enforce a version and those that don't yet.

    Attributes:
        version: The version waited for.
        enforcing: Live instances that enforce it or a newer one.
        seen: Instances that an entry reports in any state but dead, including leaving ones.
        lagging: Live instances that enforce an older version or none.
        unreachable: Entries that did not answer, with the reason.
        unseen: Instances that the platform lists as live and that aren't among ``seen``.
    """

    version: int
    enforcing: tuple[Member, ...] = ()
    seen: tuple[Member, ...] = ()
    lagging: tuple[Member, ...] = ()
    unreachable: tuple[str, ...] = ()
    unseen: tuple[ListedInstance, ...] = ()

    @property
    def done(self) -> bool:
        """Whether every live instance enforces the version."""
        return bool(self.enforcing) and not self.lagging and not self.unseen

    @property
    def data(self) -> dict[str, Any]:
        """The report as a JSON object."""
        return {
            "version": self.version,
            "in_force": self.done,
            "enforcing": [str(member.entry) for member in self.enforcing],
            "lagging": [
                {"instance": str(member.entry), "config_version": member.config_version}
                for member in self.lagging
            ],
            "unreachable": list(self.unreachable),
            "unseen": [instance._asdict() for instance in self.unseen],
        }

    @property
    def text(self) -> str:
        """The report as text for people."""
        where = f"in force on {len(self.enforcing)} instances"
        lines = [f"version {self.version} is {where}"]
        if not self.done:
            lines = [f"version {self.version} is not in force everywhere, but {where}"]
        if self.lagging:
            rows = [
                [
                    str(member.entry),
                    member.region,
                    member.failure_domain,
                    member.state,
                    member.config_version,
                ]
                for member in self.lagging
            ]
            headers = ["instance", "region", "failure domain", "state", "enforces version"]
            lines.append(format_table(headers, rows))
        lines += [
            f"{instance.address} in {instance.failure_domain}: listed as live by the platform, "
            "but no entry that answered reports it as alive"
            for instance in self.unseen
        ]
        lines += [f"no answer from {reason}" for reason in self.unreachable]
        return "\n".join(lines)


async def wait_for_version(
    session: Session, version: int, *, timeout_s: float, progress: Callable[[str], None]
) -> WaitReport:
    """Wait until every live instance enforces a version, or until the timeout.

    Args:
        session: Provides the entries to poll, whose status reports the other instances.
        version: The version to wait for.
        timeout_s: Longest time to wait, in seconds.
        progress: Called with a line of text when the number of enforcing instances changes.
    """
    report = WaitReport(version)
    reported_count = -1
    with trio.move_on_after(timeout_s):
        while True:
            report = await _poll_entries(session, version)
            if len(report.enforcing) != reported_count:
                reported_count = len(report.enforcing)
                total = reported_count + len(report.lagging)
                progress(f"version {version}: in force on {reported_count} of {total} instances")
            if report.done:
                report = report._replace(unseen=await _find_unseen_instances(session, report))
            if report.done:
                break
            await trio.sleep(LIST_INTERVAL_S if report.unseen else POLL_INTERVAL_S)
    return report


async def _find_unseen_instances(
    session: Session, report: WaitReport
) -> tuple[ListedInstance, ...]:
    """Return the instances that the platform lists as live and no entry reports as alive.

    An instance that is partitioned from all others is dead to them, and may still serve callers
    with an old configuration. The platform's list lags, so an instance that did die is waited for
    until the list drops it: waiting too long is better than reporting a change as in force
    everywhere when it is not.
    """
    listed = await session.listed_instances()
    if isinstance(listed, Err):
        return ()
    seen = {member.entry.address for member in report.seen}
    live = [instance for instance in listed.ok_value if instance.state == "live"]
    return tuple(instance for instance in live if instance.address not in seen)


async def _poll_entries(session: Session, version: int) -> WaitReport:
    """Query all entries of the profile once and merge their views.

    The view of a single entry may be wrong: an entry that is partitioned from a part of the fleet
    does not see the instances that lag there. An instance therefore counts as live if any entry
    reports it as live.
    """
    members: dict[tuple[EntryAddress, str], Member] = {}
    unreachable = []
    answers = await session.ask_all(session.profile.entries, "/v1/status")
    for answer in answers.values():
        if not isinstance(answer, Ok):
            unreachable.append(answer.err_value.reason)
            continue
        for member in read_members(answer.ok_value):
            key = (member.entry, member.incarnation)
            members[key] = _merge_views(members.get(key), member)
    live = [members[key] for key in sorted(members) if members[key].must_enforce]
    enforcing = [member for member in live if (member.config_version or 0) >= version]
    lagging = [member for member in live if (member.config_version or 0) < version]
    return WaitReport(
        version=version,
        enforcing=tuple(enforcing),
        seen=tuple(member for member in members.values() if member.state != "dead"),
        lagging=tuple(lagging),
        unreachable=tuple(unreachable),
    )


def _merge_views(known: Member | None, reported: Member) -> Member:
    """Merge two views of one instance.

    The newer version wins, as an instance never returns to an older one; so does a live state.
    """
    if known is None:
        return reported
    version = max(known.config_version or 0, reported.config_version or 0)
    live = known if known.must_enforce else reported
    return live._replace(config_version=version)
