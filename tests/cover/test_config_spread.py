"""The configuration on its way between instances."""

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

    def test_delta_from_each_version_leads_to_the_newest(self) -> None:
        newest = self.versions[-1]
        for base in self.versions[:2]:
            changed = self.history.changed_since(base.change.version)
            assert changed is not None
            made = apply_delta(
                base,
                encode_delta(newest, changed),
                change=newest.change,
                digest=compute_digest(newest.content_hashes),
            )
            self.assertEqual(made, newest)

    def test_what_changed_is_not_known_from_before_the_history(self) -> None:
        self.assertEqual(self.history.changed_since(2), {"workspace/b", "workspace/c"})
        self.assertEqual(self.history.changed_since(4), {"workspace/b", "workspace/c"})
        self.assertIsNone(self.history.changed_since(0))

    def test_broken_delta_is_refused(self) -> None:
        """An instance enforces a configuration that never existed.

        Sequence: a delta is applied to another base than the sender believed, or a part of it is
        lost. Cause: a delta is only right together with its base.
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

    def test_change_reaches_all_from_one(self) -> None:
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

    def test_older_version_is_never_taken(self) -> None:
        """A workspace that was locked is open again for a while.

        Sequence: one instance reads an older version from a lagging copy of the platform and
        offers it after the newer one. Cause: counting versions by arrival.
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

    def test_starting_instance_gets_everything_from_peers(self) -> None:
        """A replacement cannot serve while the platform is out.

        Sequence: the platform is out; an instance is replaced at the same address. Cause: it would
        have nobody else to get the configuration from.
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

    def test_starting_instance_gets_what_nobody_enforces_yet(self) -> None:
        """A replacement waits for good while all others have a configuration.

        Sequence: the others have got it, but do not enforce it yet; a replacement starts after
        they told each other. Cause: asking only whom is known to enforce a version.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(3)
            for instance in group.instances.values():
                instance.spread.offer(make_snapshot(1, a=1))
            late = group.start("127.0.0.4")
            await group.wait_until(lambda: late.versions == [1])

        run_group(scenario)

    def test_region_behind_a_cut_catches_up_when_it_heals(self) -> None:
        """A region enforces an old configuration for long after a cut.

        Sequence: a region is cut off; many changes are accepted meanwhile, more than are kept as
        deltas; the cut heals. Cause: nobody tells of a version twice.
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

    def test_source_that_freezes_in_the_middle(self) -> None:
        """An instance waits for good for the rest of a configuration.

        Sequence: the one that it fetches from freezes between two parts. Cause: a fetch bound to
        one source.
        """

        async def scenario(group: MemberGroup) -> None:
            await group.start_all(3)
            snapshot = make_snapshot(1, a="x")
            group.instances["127.0.0.1"].offer(snapshot)
            group.network.freeze("127.0.0.1")
            group.instances["127.0.0.2"].offer(snapshot)
            await group.wait_until(lambda: group.instances["127.0.0.3"].versions == [1])

        run_group(scenario)
