"""The configuration store: total order of changes, conflicts, lost answers and reverts."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from result import Result
from trio.testing import MockClock

from tests.common.fake_platform import FakePlatform
from wagtailpoint.config.manifest import CONTENT_KIND, HEAD_KIND, MANIFEST_KIND, Snapshot
from wagtailpoint.config.store import ApplyConflict, ApplyError, ConfigStore
from wagtailpoint.errors import InvalidInput, OutcomeUnknown, PlatformUnavailable

LIMIT_S = 300


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        with trio.fail_after(LIMIT_S):
            await test()

    trio.run(limited, clock=MockClock(autojump_threshold=0))


class StoreCase(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = FakePlatform()
        self.store = self.new_store()

    def new_store(self) -> ConfigStore:
        return ConfigStore(platform=self.platform, clock_wall=lambda: 1000.0)

    async def put(
        self, key: str, value: Any, *, base: int, author: str = "ann"
    ) -> Result[Snapshot, ApplyError]:
        return await self.new_store().apply(
            puts={key: value}, deletes=[], base_version=base, author=author, message="why"
        )

    async def read(self) -> Snapshot:
        snapshot = (await self.new_store().read()).unwrap()
        assert snapshot is not None
        return snapshot


class ApplyTest(StoreCase):
    def test_a_change_of_several_objects_is_one_version(self) -> None:
        async def test() -> None:
            self.assertIsNone((await self.store.read()).unwrap())
            await self.store.apply(
                puts={"service/a": [1], "service/b": [2]},
                deletes=[],
                base_version=0,
                author="ann",
                message="first",
            )
            applied = await self.store.apply(
                puts={"service/c": {"z": 1, "a": 2.5}},
                deletes=["service/a"],
                base_version=1,
                author="bob",
                message="second",
            )
            snapshot = await self.read()
            self.assertEqual(snapshot, applied.unwrap())
            self.assertEqual(snapshot.objects, {"service/b": [2], "service/c": {"z": 1, "a": 2.5}})
            self.assertEqual(snapshot.change[::2], (2, "bob", "second"))

        run(test)

    def test_invalid_input_is_rejected_without_a_platform_call(self) -> None:
        async def test() -> None:
            for puts, deletes, named in (
                ({"blocks/west": "x" * 900_000}, [], "blocks/west"),
                ({"west": 1}, [], "west"),
                ({"blocks/west": 1}, ["blocks/west"], "blocks/west"),
            ):
                with self.assertRaisesRegex(InvalidInput, named):
                    await self.store.apply(
                        puts=puts, deletes=deletes, base_version=0, author="ann", message=""
                    )
            self.assertEqual(self.platform.counts.total(), 0)
            with self.assertRaisesRegex(InvalidInput, "one from 1 to 0"):
                await self.store.read_version(1)

        run(test)

    def test_apply_during_an_outage_changes_nothing(self) -> None:
        async def test() -> None:
            await self.put("service/a", 1, base=0)
            self.platform.set_down(True)
            outcome = await self.put("service/a", 2, base=1)
            self.assertIsInstance(outcome.unwrap_err(), PlatformUnavailable)
            self.platform.set_down(False)
            self.assertEqual((await self.read()).objects, {"service/a": 1})

        run(test)

    def test_read_since_fetches_only_changed_contents(self) -> None:
        async def test() -> None:
            for version, key in enumerate(["service/a", "service/b"]):
                await self.put(key, key, base=version)
            known = await self.read()
            await self.put("service/b", "new", base=2)
            self.platform.counts.clear()
            newer = (await self.new_store().read_since(known)).unwrap()
            assert newer is not None
            self.assertEqual(newer.objects, {"service/a": "service/a", "service/b": "new"})
            gets = {("GET", kind): 1 for kind in (HEAD_KIND, MANIFEST_KIND, CONTENT_KIND)}
            self.assertEqual(self.platform.counts, gets)

        run(test)

    def test_stale_read_does_not_revert_to_an_older_version(self) -> None:
        async def test() -> None:
            await self.put("service/a", 1, base=0)
            self.platform.answer_stale()
            newer = (await self.put("service/a", 2, base=1)).unwrap()
            self.assertIs((await self.new_store().read_since(newer)).unwrap(), newer)

        run(test)


class RaceTest(StoreCase):
    def race(self, key: str, author: str, value: Any) -> None:
        """Commit another operator's change on the same base just before the next head update."""

        async def before_put(kind: str, _: str) -> None:
            if kind == HEAD_KIND:
                self.platform.before_put = None
                (await self.put(key, value, base=1, author=author)).unwrap()

        self.platform.before_put = before_put

    def test_conflict_names_the_concurrent_change(self) -> None:
        """Guards against a lost update.

        Two operators read version 1 and change service/a. Without the condition that the head is
        unchanged, the later write silently overwrites the earlier one.
        """

        async def test() -> None:
            await self.put("service/a", 1, base=0)
            self.race("service/a", "bob", "bob's")
            conflict = (await self.put("service/a", "ann's", base=1)).unwrap_err()
            assert isinstance(conflict, ApplyConflict)
            self.assertEqual((conflict.other.author, conflict.other.version), ("bob", 2))
            self.assertEqual(conflict.objects, ["service/a"])
            self.assertEqual((await self.read()).objects, {"service/a": "bob's"})

        run(test)

    def test_concurrent_changes_of_different_objects_are_both_committed(self) -> None:
        """Guards against losing or needlessly rejecting one of two concurrent changes.

        Both are based on version 1 and bob's is committed first. Ann's manifest has to be rebuilt
        on top of bob's: written as it is, it would discard bob's change.
        """

        async def test() -> None:
            await self.put("service/a", 1, base=0)
            self.race("service/b", "bob", "bob's")
            applied = (await self.put("service/a", "ann's", base=1)).unwrap()
            self.assertEqual(applied.objects, {"service/a": "ann's", "service/b": "bob's"})
            history = (await self.store.history(max_changes=2)).unwrap()
            self.assertEqual([(3, "ann"), (2, "bob")], [(c.version, c.author) for c in history])

        run(test)

    def test_concurrent_change_is_a_conflict_even_if_undone(self) -> None:
        async def test() -> None:
            for version, value in enumerate([1, 2, 1]):
                await self.put("service/a", value, base=version, author=f"author {version + 1}")
            conflict = (await self.put("service/a", 5, base=1)).unwrap_err()
            assert isinstance(conflict, ApplyConflict)
            self.assertEqual(conflict.other.author, "author 3")

        run(test)

    def test_many_concurrent_changes_are_all_committed(self) -> None:
        async def test() -> None:
            async def put(number: int) -> None:
                (await self.put(f"service/{number}", number, base=0)).unwrap()

            async with trio.open_nursery() as nursery:
                for number in range(10):
                    nursery.start_soon(put, number)
            snapshot = await self.read()
            self.assertEqual(snapshot.change.version, 10)
            self.assertEqual(sorted(snapshot.objects.values()), list(range(10)))

        run(test)


class LostAnswerTest(StoreCase):
    def lose(self, fault: str, *, kind: str | None, count: int) -> None:
        setattr(self.platform, fault, count)
        self.platform.writes_of = kind

    def test_lost_answer_of_the_head_update_is_resolved_by_reading_back(self) -> None:
        """Guards against reporting a committed change as failed, after which it is applied twice.

        The head update takes effect but its answer is lost. The store has to read the head back,
        which already names the change.
        """

        async def test() -> None:
            await self.put("service/a", 1, base=0)
            self.lose("lose_answers", kind=HEAD_KIND, count=1)
            applied = (await self.put("service/a", 2, base=1)).unwrap()
            self.assertEqual(applied.change.version, 2)
            self.assertEqual(len((await self.store.history(max_changes=9)).unwrap()), 2)
            self.assertEqual(self.platform.counts["PUT", HEAD_KIND], 2)

        run(test)

    def test_lost_answer_is_resolved_after_a_later_change(self) -> None:
        """Guards against reporting a committed change as a conflict with its successor.

        Ann's head update takes effect but its answer is lost, and bob commits a change on top of
        it before ann reads back. The head alone shows only bob's change, so the store has to follow
        the manifests.
        """

        async def test() -> None:
            await self.put("service/a", 1, base=0)
            self.lose("lose_answers", kind=HEAD_KIND, count=1)

            async def bob_goes_on(kind: str, _: str) -> None:
                if kind == HEAD_KIND:
                    self.platform.after_put = None
                    (await self.put("service/a", "bob's", base=2, author="bob")).unwrap()

            self.platform.after_put = bob_goes_on
            applied = (await self.put("service/a", "ann's", base=1)).unwrap()
            self.assertEqual((applied.change.version, applied.objects), (2, {"service/a": "ann's"}))
            self.assertEqual((await self.read()).objects, {"service/a": "bob's"})

        run(test)

    def test_lost_request_is_retried_under_the_same_condition(self) -> None:
        async def test() -> None:
            for base, kind in enumerate((HEAD_KIND, MANIFEST_KIND, CONTENT_KIND)):
                self.lose("lose_requests", kind=kind, count=1)
                applied = (await self.put("service/a", kind, base=base)).unwrap()
                self.assertEqual(applied.change.version, base + 1)

        run(test)

    def test_lost_request_overtaken_by_another_change_is_a_conflict(self) -> None:
        async def test() -> None:
            await self.put("service/a", 1, base=0)
            self.lose("lose_requests", kind=HEAD_KIND, count=1)

            async def rival() -> None:
                while self.platform.lose_requests:
                    await trio.lowlevel.checkpoint()
                (await self.put("service/a", "bob's", base=1, author="bob")).unwrap()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(rival)
                conflict = (await self.put("service/a", "ann's", base=1)).unwrap_err()
            assert isinstance(conflict, ApplyConflict)
            self.assertEqual(conflict.other.author, "bob")

        run(test)

    def test_unresolvable_outcome_is_reported_as_unknown(self) -> None:
        async def test() -> None:
            self.lose("lose_answers", kind=HEAD_KIND, count=1)

            async def go_down(kind: str, _: str) -> None:
                self.platform.set_down(kind == HEAD_KIND)

            self.platform.after_put = go_down
            error = (await self.put("service/a", 1, base=0)).unwrap_err()
            self.assertIsInstance(error, OutcomeUnknown)
            self.platform.set_down(False)
            change = (await self.read()).change
            self.assertIn(change.change_id, str(error))

        run(test)


class RevertTest(StoreCase):
    def test_older_content_becomes_a_new_version_atomically(self) -> None:
        async def test() -> None:
            await self.put("service/a", 1, base=0)
            await self.put("service/a", 2, base=1)
            await self.put("service/b", 3, base=2)
            self.platform.counts.clear()
            reverted = await self.store.revert(
                to_version=1, author="ann", message="back", base_version=3
            )
            self.assertEqual(self.platform.counts["PUT", HEAD_KIND], 1)
            self.assertEqual(await self.read(), reverted.unwrap())
            self.assertEqual(reverted.unwrap().change.version, 4)
            self.assertEqual(reverted.unwrap().objects, {"service/a": 1})
            self.assertEqual((await self.store.read_version(3)).unwrap().objects["service/b"], 3)

        run(test)

    def test_any_change_since_the_base_is_a_conflict(self) -> None:
        async def test() -> None:
            for version, key in enumerate(["service/a", "service/a", "service/new"]):
                await self.put(key, version, base=version)
            reverted = await self.store.revert(
                to_version=1, author="ann", message="back", base_version=2
            )
            conflict = reverted.unwrap_err()
            assert isinstance(conflict, ApplyConflict)
            self.assertEqual(conflict.objects, ["service/new"])

        run(test)
