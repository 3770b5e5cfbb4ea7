"""The configuration in the platform: one order, conflicts, lost answers, going back."""

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

    def test_bad_input_is_refused_before_the_platform_is_asked(self) -> None:
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
                await self.store.at(1)

        run(test)

    def test_an_outage_changes_nothing(self) -> None:
        async def test() -> None:
            await self.put("service/a", 1, base=0)
            self.platform.set_down(True)
            outcome = await self.put("service/a", 2, base=1)
            self.assertIsInstance(outcome.unwrap_err(), PlatformUnavailable)
            self.platform.set_down(False)
            self.assertEqual((await self.read()).objects, {"service/a": 1})

        run(test)

    def test_a_read_fetches_only_what_changed(self) -> None:
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

    def test_a_lagging_read_never_leads_back(self) -> None:
        async def test() -> None:
            await self.put("service/a", 1, base=0)
            self.platform.answer_stale()
            newer = (await self.put("service/a", 2, base=1)).unwrap()
            self.assertIs((await self.new_store().read_since(newer)).unwrap(), newer)

        run(test)


class RaceTest(StoreCase):
    def race(self, key: str, author: str, value: Any) -> None:
        """Let another operator's change, made on the same base, land just before the next head."""

        async def before_put(kind: str, _: str) -> None:
            if kind == HEAD_KIND:
                self.platform.before_put = None
                (await self.put(key, value, base=1, author=author)).unwrap()

        self.platform.before_put = before_put

    def test_racing_operators_get_a_conflict_that_names_the_other(self) -> None:
        """Symptom: an operator's change was gone without a word.

        Sequence: two operators read version 1, both changed service/a, the later write covered
        the earlier. Cause: an update without the condition that nothing changed since.
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

    def test_racing_changes_of_different_objects_both_land_in_one_order(self) -> None:
        """Symptom: of two changes at the same moment one was lost, or refused without need.

        Sequence: both were made on version 1, bob's head came first. Cause: a manifest that was
        made on version 1 replaced bob's instead of being made again on top of it.
        """

        async def test() -> None:
            await self.put("service/a", 1, base=0)
            self.race("service/b", "bob", "bob's")
            applied = (await self.put("service/a", "ann's", base=1)).unwrap()
            self.assertEqual(applied.objects, {"service/a": "ann's", "service/b": "bob's"})
            history = (await self.store.history(most=2)).unwrap()
            self.assertEqual([(3, "ann"), (2, "bob")], [(c.version, c.author) for c in history])

        run(test)

    def test_a_change_that_was_taken_back_meanwhile_is_still_a_conflict(self) -> None:
        async def test() -> None:
            for version, value in enumerate([1, 2, 1]):
                await self.put("service/a", value, base=version, author=f"author {version + 1}")
            conflict = (await self.put("service/a", 5, base=1)).unwrap_err()
            assert isinstance(conflict, ApplyConflict)
            self.assertEqual(conflict.other.author, "author 3")

        run(test)

    def test_many_operators_at_once_all_land(self) -> None:
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

    def test_a_lost_answer_of_the_head_is_settled_by_reading_back(self) -> None:
        """Symptom: an operator saw an error and applied again; the change was made twice.

        Sequence: the head was updated, its answer was lost. Cause: the writer took the missing
        answer for a failure, though the head already named its change.
        """

        async def test() -> None:
            await self.put("service/a", 1, base=0)
            self.lose("lose_answers", kind=HEAD_KIND, count=1)
            applied = (await self.put("service/a", 2, base=1)).unwrap()
            self.assertEqual(applied.change.version, 2)
            self.assertEqual(len((await self.store.history(most=9)).unwrap()), 2)
            self.assertEqual(self.platform.counts["PUT", HEAD_KIND], 2)

        run(test)

    def test_it_is_found_below_the_head_when_others_went_on(self) -> None:
        """Symptom: a change that was in force was reported as a conflict with its successor.

        Sequence: ann's head landed, its answer was lost, bob's change came on top before ann read
        back. Cause: looking only at the head, not along the manifests.
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

    def test_a_lost_request_is_sent_again_under_the_same_condition(self) -> None:
        async def test() -> None:
            for base, kind in enumerate((HEAD_KIND, MANIFEST_KIND, CONTENT_KIND)):
                self.lose("lose_requests", kind=kind, count=1)
                applied = (await self.put("service/a", kind, base=base)).unwrap()
                self.assertEqual(applied.change.version, base + 1)

        run(test)

    def test_a_lost_request_that_a_rival_overtook_is_no_success(self) -> None:
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

    def test_what_cannot_be_settled_is_said_to_be_unknown(self) -> None:
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
    def test_older_content_becomes_a_newer_version_in_one_step(self) -> None:
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
            self.assertEqual((await self.store.at(3)).unwrap().objects["service/b"], 3)

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
