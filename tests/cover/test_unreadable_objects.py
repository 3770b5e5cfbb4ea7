"""Objects of other writers that can't be read, beside others in the users' store."""

import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio
from loguru import logger

from tests.common.node_settings_file import config_document
from tests.common.odd_values import LARGE_INTEGER, NESTED, SURROGATE, UNREADABLE
from tests.common.steering_parts import REGION_OF
from tests.common.users_store import PAGE_SIZE, UsersStore
from wagtailpoint.daemon.store_state import StoreState
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.discovery.follower import KindFollower
from wagtailpoint.discovery.store_check import StoreCheck
from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.platform.store import ObjectStore
from wagtailpoint.ports.peers import MAX_MESSAGE_BYTES
from wagtailpoint.ports.platform import StoredObject
from wagtailpoint.revision import NO_REVISION, Revision

LIMIT_S = 10.0
KIND = "servers"


class NoPeers:
    """Stands for an instance without others."""

    async def ask(self, kind: str, newer_than: Revision) -> None:
        """Return no answer."""


class UnreadableObjectCase(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.store = UsersStore()
        self.metrics = Metrics()
        self.era = StoreEra(metrics=self.metrics)

    def run_with(self, test: Callable[[ObjectStore], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with self.store.serve() as endpoint:
                    client = ObjectStore(
                        address=endpoint, timeout_s=5.0, metrics=self.metrics, era=self.era
                    )
                    await test(client)

        trio.run(run)

    def read_objects(self, kind: str) -> dict[str, StoredObject]:
        """Return all objects of a kind as an instance reads them."""
        found: dict[str, StoredObject] = {}

        async def test(client: ObjectStore) -> None:
            listed = (await client.list(kind=kind)).unwrap()
            found.update({stored.name: stored for stored in listed.objects})

        self.run_with(test)
        return found


class UnreadableObjectTest(UnreadableObjectCase):
    def put_between_others(self, text: str) -> None:
        """Put three objects, of which the second one has a value given as JSON text."""
        self.store.put(KIND, "i-1", {"n": 1})
        self.store.put(KIND, "i-2", msgspec.Raw(text.encode()))
        self.store.put(KIND, "i-3", {"n": 3})

    def check_isolated(self, text: str) -> None:
        """Check that neither a listing nor a watch loses the neighbours of a value."""
        self.put_between_others(text)

        async def test(client: ObjectStore) -> None:
            before = self.store.revision - 3
            listed = (await client.list(kind=KIND)).unwrap()
            batch = await client.watch(
                kinds=[KIND], from_version=Revision(1, before), wait_s=LIMIT_S
            )
            found = [
                (1, "i-1", {"n": 1}),
                (2, "i-2", None),
                (3, "i-3", {"n": 3}),
            ]
            expected = [
                StoredObject(KIND, name, Revision(1, before + number), value)
                for number, name, value in found
            ]
            self.assertEqual(listed.objects, expected)
            self.assertEqual([event.stored for event in batch.unwrap().events], expected)

        self.run_with(test)

    def test_nested_value_leaves_the_others_readable(self) -> None:
        """Guards against instances that end, at each restart again, for one nested entry."""
        self.check_isolated(NESTED)

    def test_unpaired_surrogate_leaves_the_others_readable(self) -> None:
        """Guards against instances that learn no change any more, for one string of an entry."""
        self.check_isolated(SURROGATE)

    def test_integer_that_no_message_can_hold(self) -> None:
        """Guards against watchers that end, with their requests, when they pass on an entry."""
        self.check_isolated(LARGE_INTEGER)

    def test_every_unreadable_value_leaves_the_others_readable(self) -> None:
        """Guards against answers of the store that one entry makes unreadable."""
        for text in UNREADABLE:
            with self.subTest(text=text[:20]):
                self.check_isolated(text)

    def test_nested_field_beside_the_value(self) -> None:
        """Guards against instances that end for a nested field that they do not read."""
        self.store.put(KIND, "i-1", {"n": 1})
        self.store.put(KIND, "i-2", {"n": 2})
        self.store.add_field(KIND, "i-1", "Status", msgspec.Raw(NESTED.encode()))

        async def test(client: ObjectStore) -> None:
            listed = (await client.list(kind=KIND)).unwrap()
            self.assertEqual([stored.value for stored in listed.objects], [{"n": 1}, {"n": 2}])
            got = (await client.get(kind=KIND, name="i-1")).unwrap()
            assert got is not None
            self.assertEqual(got.value, {"n": 1})

        self.run_with(test)

    def test_unreadable_value_is_counted_once_for_each_revision(self) -> None:
        """Guards against a log that fills while an unreadable entry stays in the store."""

        async def test(client: ObjectStore) -> None:
            for revisions in (1, 2):
                self.put_between_others(NESTED)
                for _ in range(3):
                    (await client.list(kind=KIND)).unwrap()
                self.assertEqual(self.metrics.counts["store.unreadable.servers"], revisions)

        self.run_with(test)

    def test_listing_continues_behind_unreadable_objects(self) -> None:
        """Guards against restarted instances that know no backend server, for a page of others."""
        for text in UNREADABLE:
            with self.subTest(text=text[:20]):
                for number in range(2 * PAGE_SIZE):
                    self.store.put(KIND, f"h-{number}", msgspec.Raw(text.encode()))
                self.store.put(KIND, "i-1", {"n": 1})
                self.assertEqual(self.read_objects(KIND)["i-1"].value, {"n": 1})

    def test_listing_continues_behind_unreadable_names(self) -> None:
        """Guards against listings that end with a page on which no name can be read."""
        names = [r'"h\ud800"', r'"h\udcff"', r'"h\udcff2"']
        page = self.store._page

        def with_odd_names(kind: str, after: str) -> dict[str, Any]:
            if after == "":
                items = [msgspec.Raw(b'{"Metadata":{"Name":%s}}' % n.encode()) for n in names[:2]]
            elif after == "h\udcff":
                items = [msgspec.Raw(b'{"Metadata":{"Name":%s}}' % names[2].encode())]
            else:
                self.assertEqual(after, "h\udcff2")
                return page(kind, "h")
            return {"items": items, "HasMore": True, "StoreRevision": 9}

        self.store._page = with_odd_names  # type: ignore[method-assign]
        self.store.put(KIND, "i-1", {"n": 1})
        self.assertEqual(list(self.read_objects(KIND)), ["i-1"])

    def test_listing_that_can_not_continue_is_none(self) -> None:
        """Guards against a listing that passes for complete, and one that is read without end."""
        items: list[Any] = []

        def page(kind: str, after: str) -> dict[str, Any]:
            return {"items": items, "HasMore": True, "StoreRevision": 9}

        async def test(client: ObjectStore) -> None:
            for items[:] in ([], [7], [{"Metadata": {"Name": 7}}], [{"Metadata": {"Name": "h"}}]):
                self.assertTrue((await client.list(kind=KIND)).is_err())

        self.store._page = page  # type: ignore[method-assign]
        self.run_with(test)

    def test_large_entries_leave_room_for_the_others(self) -> None:
        """Guards against states of the store that instances can't send each other any more."""
        for number in range(2):
            value = {"Service": "x" * 700_000, "born": number}
            self.store.put(KIND, f"odd-{number}", value)
        self.store.put(KIND, "i-1", {"n": 1})
        objects = self.read_objects(KIND)
        self.assertEqual(len(objects), 3)
        self.assertEqual(objects["i-1"].value, {"n": 1})
        self.assertLess(len(msgspec.msgpack.encode(list(objects.values()))), MAX_MESSAGE_BYTES)
        self.store.put("config", "main", {"x": "x" * 700_000})
        self.assertIsNotNone(self.read_objects("config")["main"].value)

    def test_conflict_with_an_unreadable_object(self) -> None:
        """Guards against a write that is repeated without end where it could replace the object."""
        self.store.put(KIND, "i-1", msgspec.Raw(NESTED.encode()))

        async def test(client: ObjectStore) -> None:
            refused = await client.put(
                kind=KIND, name="i-1", value={"n": 2}, if_version=NO_REVISION
            )
            conflict = refused.unwrap_err()
            version = Revision(1, self.store.revision)
            self.assertEqual(conflict, (StoredObject(KIND, "i-1", version, None),))
            written = await client.put(kind=KIND, name="i-1", value={"n": 2}, if_version=version)
            self.assertTrue(written.is_ok())

        self.run_with(test)

    def test_changes_are_followed_beside_an_unreadable_object(self) -> None:
        """Guards against requests to backend servers that have left, for one unreadable entry."""
        for text in UNREADABLE:
            with self.subTest(text=text[:20]):
                self.check_followed(text)

    def check_followed(self, text: str) -> None:
        self.store = UsersStore()
        self.put_between_others(text)

        async def test(client: ObjectStore) -> None:
            changed = trio.Event()
            seen: list[set[str]] = []

            def record() -> None:
                nonlocal changed
                seen.append(set(follower.objects))
                changed.set()
                changed = trio.Event()

            check = StoreCheck(store=client, random=random.Random(1))
            follower = KindFollower(
                kind=KIND,
                platform=client,
                peers=NoPeers(),
                check=check,
                era=self.era,
                on_change=record,
                random=random.Random(1),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(check.run)
                nursery.start_soon(follower.run)
                await changed.wait()
                self.store.delete(KIND, "i-1")
                await changed.wait()
                self.store.put(KIND, "i-4", msgspec.Raw(text.encode()))
                await changed.wait()
                self.store.delete(KIND, "i-2")
                await changed.wait()
                nursery.cancel_scope.cancel()
            everything = {"i-1", "i-2", "i-3"}
            expected = [everything, {"i-2", "i-3"}, {"i-2", "i-3", "i-4"}, {"i-3", "i-4"}]
            self.assertEqual(seen, expected)

        self.run_with(test)


class UnreadableStateTest(UnreadableObjectCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet(region_of=REGION_OF)
        self.state = StoreState(fleet=self.fleet, on_removed=lambda start: None)

    def test_unreadable_evacuation_is_in_force(self) -> None:
        """Guards against requests to an evacuated failure domain, for content without meaning."""
        for text in UNREADABLE:
            with self.subTest(text=text[:20]):
                self.store.put("evacuations", "a-1", msgspec.Raw(text.encode()))
                self.state.apply_evacuations(self.read_objects("evacuations"))
                self.assertEqual(self.fleet.evacuated, {"a-1"})

    def test_unreadable_configuration_replaces_none(self) -> None:
        """Guards against a configuration that passes for the newest beside an unreadable one."""
        self.store.put("config", "main", config_document())
        self.state.apply_config(self.read_objects("config"))
        in_force = self.state.table
        self.assertIsNotNone(in_force)
        for text in UNREADABLE:
            with self.subTest(text=text[:20]):
                self.store.put("config", "main", msgspec.Raw(text.encode()))
                self.state.apply_config(self.read_objects("config"))
                self.assertIs(self.state.table, in_force)
                self.assertFalse(self.state.is_config_readable)
