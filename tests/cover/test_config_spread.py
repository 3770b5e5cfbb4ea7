"""Distribution of the configuration between instances."""

import unittest
from random import Random
from typing import Any
from unittest.mock import patch

import trio

from tests.common.member_group import MemberGroup, run_group
from wagtailpoint.config.manifest import ChangeInfo, Snapshot
from wagtailpoint.membership import config_delta, config_spread
from wagtailpoint.membership.config_delta import (
    BrokenDelta,
    DeltaHistory,
    add_content_hashes,
    apply_delta,
    compute_digest,
    encode_delta,
)


def make_snapshot(version: int, **objects: Any) -> Snapshot:
    change = ChangeInfo(version, f"change-{version}", "mairi", 1.7e9, "a change")
    return Snapshot(change, {f"workspace/{name}": value for name, value in objects.items()})


class DeltaTest(unittest.TestCase):
    def setUp(self) -> None:
        self.versions = [
            add_content_hashes(snapshot)
            for snapshot in (
                make_snapshot(1, a=1, b={"x": [1.5, None]}),
                make_snapshot(2, a=2, b={"x": [1.5, None]}),
                make_snapshot(5, a=2, c="new"),
            )
        ]
        self.history = DeltaHistory()
        self.history.add(*self.versions[:2])
        self.history.add(*self.versions[1:])

    def test_delta_from_each_version_gives_the_newest(self) -> None:
        newest = self.versions[-1]
        for base in self.versions[:2]:
            changed = self.history.changed_since(base.change.version)
            assert changed is not None
            result = apply_delta(
                base,
                encode_delta(newest, changed),
                change=newest.change,
                digest=compute_digest(newest.content_hashes),
            )
            self.assertEqual(result, newest)

    def test_changes_from_before_the_history_are_unknown(self) -> None:
        self.assertEqual(self.history.changed_since(2), {"workspace/b", "workspace/c"})
        self.assertEqual(self.history.changed_since(4), {"workspace/b", "workspace/c"})
        self.assertIsNone(self.history.changed_since(0))

    def test_broken_delta_is_rejected(self) -> None:
        """Guards against enforcing a configuration that never existed.

        A delta is applied to another base than the one it was made for, or a part of it is lost.
        """
        newest = self.versions[-1]
        data = encode_delta(newest, frozenset({"workspace/c"}))
        digest = compute_digest(newest.content_hashes)
        for broken in (data, data[:-9], b"", b"nonsense"):
            with self.assertRaises(BrokenDelta):
                apply_delta(self.versions[0], broken, change=newest.change, digest=digest)


class ConfigSpreadTest(unittest.TestCase):
    def assert_all_have(self, group: MemberGroup, snapshot: Snapshot) -> None:
        for instance in group.instances.values():
            current = instance.spread.current()
            assert current is not None
            self.assertEqual(current.change, snapshot.change)
            self.assertEqual(current.objects, snapshot.objects)
            self.assertEqual(instance.versions, sorted(set(instance.versions)))

    async def until_all_have(self, group: MemberGroup, version: int) -> float:
        return await group.wait_until(
            lambda: all(i.versions[-1:] == [version] for i in group.instances.values())
        )

    def test_change_offered_to_one_instance_reaches_all(self) -> None:
        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            for version in (1, 2):
                snapshot = make_snapshot(version, a=version, b="same")
                group.instances["127.0.0.4"].offer(snapshot)
                self.assertLess(await self.until_all_have(group, version), 2)
                self.assert_all_have(group, snapshot)

        run_group(scenario)

    def test_large_configuration_arrives_in_parts(self) -> None:
        async def scenario(group: MemberGroup) -> None:
            await group.start_all(3)
            large = make_snapshot(1, a=Random(5).randbytes(config_spread.PART_BYTES).hex(), b=1)
            group.instances["127.0.0.1"].offer(large)
            await self.until_all_have(group, 1)
            self.assert_all_have(group, large)
            counts = group.instances["127.0.0.1"].peers.counts
            self.assertGreater(counts.sent["config-part"].messages, 1)
            self.assertNotIn("too-large", counts.dropped)

        run_group(scenario)

    def test_older_version_is_never_accepted(self) -> None:
        """Guards against a locked workspace that is open again for a while.

        One instance reads an older version from a lagging replica of the platform and offers it
        after the newer one, which would be replaced if versions were ordered by arrival.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(3)
            newer = make_snapshot(7, a=7)
            group.instances["127.0.0.1"].offer(newer)
            await self.until_all_have(group, 7)
            self.assertFalse(group.instances["127.0.0.2"].offer(make_snapshot(6, a=6)))
            await trio.sleep(10)
            self.assert_all_have(group, newer)

        run_group(scenario)

    def test_starting_instance_gets_the_configuration_from_peers(self) -> None:
        """Guards against a replacement that cannot serve during an outage of the platform.

        An instance is replaced at the same address; its peers are its only source of the
        configuration.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            newest = make_snapshot(3, a=3)
            group.instances["127.0.0.1"].offer(newest)
            await self.until_all_have(group, 3)
            group.instances["127.0.0.5"].kill()
            await trio.sleep(0.1)
            group.start("127.0.0.5")
            self.assertLess(await self.until_all_have(group, 3), 3)
            self.assert_all_have(group, newest)

        run_group(scenario)

    def test_starting_instance_gets_a_version_that_is_not_enforced_yet(self) -> None:
        """Guards against a replacement that waits forever while all others have a configuration.

        The other instances have received the version and announced it to each other before the
        replacement starts, but do not enforce it yet. Requests only to instances known to enforce
        a version would find none.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(3)
            for instance in group.instances.values():
                instance.spread.offer(make_snapshot(1, a=1))
            late = group.start("127.0.0.4")
            await group.wait_until(lambda: late.versions == [1])

        run_group(scenario)

    def test_partitioned_region_catches_up_after_it_heals(self) -> None:
        """Guards against a region that enforces a stale configuration long after a partition.

        While the region is isolated, more changes are accepted than the history of deltas holds.
        Each version is announced only once, so after the partition heals the region must learn of
        it from the membership.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(9)
            group.instances["127.0.0.1"].offer(make_snapshot(1, a=1, gone="x"))
            await self.until_all_have(group, 1)
            isolated = ["127.0.0.7", "127.0.0.8", "127.0.0.9"]
            group.network.cut_apart(isolated, set(group.instances) - set(isolated))
            for version in range(2, 32):
                newest = make_snapshot(version, a=version)
                group.instances["127.0.0.1"].offer(newest)
                await trio.sleep(0.2)
            group.network.heal()
            self.assertLess(await self.until_all_have(group, 31), 20)
            self.assert_all_have(group, newest)

        with patch.object(config_delta, "MAX_HISTORY_STEPS", 8):
            run_group(scenario)

    def test_fetch_continues_from_another_source(self) -> None:
        """Guards against waiting forever for the rest of a configuration.

        The source freezes during a fetch, so the fetch must start again from another source.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(3)
            snapshot = make_snapshot(1, a="x")
            group.instances["127.0.0.1"].offer(snapshot)
            group.network.freeze("127.0.0.1")
            group.instances["127.0.0.2"].offer(snapshot)
            await group.wait_until(lambda: group.instances["127.0.0.3"].versions == [1])

        run_group(scenario)
