"""Applying server entries from the store, unreadable and outdated ones included."""

import unittest
from unittest.mock import patch

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.node_settings_file import server_document
from tests.common.revisions import rev
from tests.common.steering_parts import REGION_OF
from wagtailpoint.daemon import store_state
from wagtailpoint.daemon.store_state import StoreState
from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.platform.documents import decode_server
from wagtailpoint.ports.platform import StoredObject


class ServerEntriesTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.fleet = Fleet(region_of=REGION_OF)
        self.removed: list[ServerStart] = []
        self.state = StoreState(fleet=self.fleet, on_removed=self.removed.append)
        self.version = 0

    def apply(self, **values) -> list[str]:
        """Apply entries, each a document or an invalid value; return the ids of the candidates."""

        async def apply() -> None:
            self.version += 1
            self.state.apply_servers(
                {
                    name: StoredObject("servers", name, rev(self.version), value)
                    for name, value in values.items()
                }
            )

        trio.run(apply, clock=MockClock())
        return [candidate.entry.server_id for candidate in self.fleet.candidates("desk")]

    def server(self, **changes):
        return server_document("10.1.2.3:80") | changes

    def test_invalid_entry_removes_only_its_backend_server(self) -> None:
        """Guards against requests to the former backend server of an overwritten entry.

        Sequence: an entry is overwritten with an invalid value. Cause: its last readable value
        stays in use.
        """
        self.assertEqual(self.apply(i_1=self.server(), i_2=self.server()), ["i_1", "i_2"])
        invalid: object
        for invalid in (None, 7, "\ufffd\x00", [], {}, self.server(State="resting")):
            self.assertEqual(self.apply(i_1=invalid, i_2=self.server()), ["i_2"])
            self.assertEqual(self.state.unusable_entries, 1)
        self.assertEqual(self.apply(i_1=self.server(), i_2=self.server()), ["i_1", "i_2"])
        self.assertEqual(self.state.unusable_entries, 0)

    def test_one_changed_entry_causes_one_decoding(self) -> None:
        """Guards against decoding all entries and sorting all candidates at each change.

        Failure: 195 instances use a fifth more processor time than needed. Sequence: backend
        servers come and go several times a second, and every change reaches all instances. Cause:
        each change costs work for all entries, even on instances that get no requests.
        """
        documents = {f"i_{n}": self.server(Sequence=n) for n in range(400)}
        objects = {
            name: StoredObject("servers", name, rev(1), document)
            for name, document in documents.items()
        }

        async def test() -> None:
            self.state.apply_servers(objects)
            self.assertEqual(len(self.fleet.candidates("desk")), 400)
            changed = StoredObject(
                "servers", "i_7", rev(2), self.server(State="draining", Sequence=500)
            )
            with (
                patch.object(store_state, "decode_server", wraps=decode_server) as decoded,
                patch.object(Fleet, "_rebuild", autospec=True) as rebuilt,
            ):
                self.state.apply_servers({**objects, "i_7": changed})
            self.assertEqual((decoded.call_count, rebuilt.call_count), (1, 0))
            self.assertEqual(len(self.fleet.candidates("desk")), 399)
            del objects["i_9"]
            self.state.apply_servers({**objects, "i_7": changed})
            self.assertEqual(len(self.fleet.candidates("desk")), 398)
            self.assertEqual([start.server_id for start in self.removed], ["i_9"])

        trio.run(test, clock=MockClock())

    def test_start_in_nanoseconds_of_another_writer(self) -> None:
        """Guards against a backend server whose entries are ignored after one with a late start."""
        own = self.server(born=1_790_000_000_000, Sequence=3)
        self.assertEqual(self.apply(i_1=own), ["i_1"])
        odd = self.server(born=1_790_000_000_000_000_000, State="draining")
        self.assertEqual(self.apply(i_1=odd), [])
        self.assertEqual(self.apply(i_1=own | {"Sequence": 4}), ["i_1"])

    def test_outdated_heartbeats_are_ignored(self) -> None:
        self.apply(i_1=self.server(Sequence=5, State="draining"))
        self.assertEqual(self.apply(i_1=self.server(Sequence=4)), [])
        self.assertEqual(self.apply(i_1=self.server(Sequence=1, born=77)), ["i_1"])
        self.assertEqual(self.removed, [ServerStart("i_1", 0)])
        self.assertEqual(self.apply(i_1=self.server(Sequence=6, State="draining")), ["i_1"])
