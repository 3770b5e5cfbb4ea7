"""Whatever another writer stores, the other objects are read as without it."""

import json
import unittest
from typing import Any

import msgspec
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger
from result import Err
from trio.testing import MockClock

from tests.common.node_settings_file import config_document, server_document
from tests.common.odd_values import UNREADABLE
from tests.common.steering_parts import REGION_OF
from tests.nocover.test_any_input import paths_in, with_value
from wagtailpoint.adapters.object_calls import Answer, decode_answer
from wagtailpoint.adapters.unreadable_objects import UnreadableObjects
from wagtailpoint.daemon.store_state import StoreState
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.platform.documents import decode_config
from wagtailpoint.platform.wire_objects import WireEvents, WireObjects, WirePage, read_name
from wagtailpoint.ports.platform import StoredObject
from wagtailpoint.revision import Revision

SERVER = server_document("10.1.2.3:80", born=7, Sequence=3, ColdLeftS=1.0)
CONFIG = config_document(Tenants=[{"Name": "w", "ApiKeys": ["k"], "RatePerS": 5, "Burst": 3}])

# Encoded by `json.dumps`, also unpaired surrogates and infinity.
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(), max_size=10)
    | st.sampled_from([10**30, -(2**63), 2**64, 10**4000, 1e308, "\udcff", "ready", "a-1", ""]),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(st.characters(), max_size=5), inner, max_size=3),
    max_leaves=6,
)
TEXTS = VALUES.map(json.dumps) | st.sampled_from(UNREADABLE)

METADATA = st.one_of(
    TEXTS,
    st.builds('{{"Name":{},"Revision":{}}}'.format, TEXTS, TEXTS),
    st.builds('{{"Name":"odd","Revision":4,"Finalizers":{}}}'.format, TEXTS),
)
OBJECTS = st.one_of(
    TEXTS,
    st.builds('{{"Metadata":{},"Spec":{},"Status":{}}}'.format, METADATA, TEXTS, TEXTS),
    st.builds('{{"Spec":{},"Metadata":{{"Name":"odd"}},{}:1}}'.format, TEXTS, TEXTS),
)


def neighbour(name: str) -> str:
    return json.dumps({"Metadata": {"Name": name, "Revision": 5}, "Spec": SERVER})


class AnyStoredObjectTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.wire = WireObjects(
            unreadable=UnreadableObjects(metrics=Metrics()), max_bytes_by_kind={}
        )

    def read_page(self, *items: str) -> list[StoredObject]:
        body = f'{{"items":[{",".join(items)}],"HasMore":true,"StoreRevision":9}}'
        page = decode_answer(Answer(200, body.encode()), WirePage).unwrap()
        self.assertTrue(page.HasMore)
        self.assertEqual(len(page.items), len(items))
        read_name(page.items[-1])
        return self.wire.read_all("servers", page.items, 1)

    def read_events(self, *items: str) -> list[StoredObject]:
        events = [f'{{"Object":{item},"Deleted":false}}' for item in items]
        body = f'{{"StoreRevision":9,"events":[{",".join(events)}]}}'
        answer = decode_answer(Answer(200, body.encode()), WireEvents).unwrap()
        found = self.wire.read_events("servers", answer.events, 1)
        return [event.stored for event in found]

    @settings(derandomize=True, max_examples=600, deadline=None)
    @given(odd=OBJECTS)
    def test_neighbours_are_read_the_same(self, odd: str) -> None:
        """Guards against an object that hides others, or that no message or log can hold."""
        before, after = neighbour("i-1"), neighbour("i-2")
        for read in (self.read_page, self.read_events):
            found = read(before, odd, after)
            self.assertEqual([found[0], found[-1]], read(before, after))
            self.assertLessEqual(len(found), 3)
            encoded = msgspec.msgpack.encode(found)
            self.assertEqual(len(msgspec.msgpack.decode(encoded)), len(found))
            msgspec.json.encode(found)
            str(found).encode()

    @settings(derandomize=True, max_examples=600, deadline=None)
    @given(path=st.sampled_from(paths_in(SERVER)), new=VALUES)
    def test_other_backend_servers_stay(self, path: list[Any], new: Any) -> None:
        """Guards against an entry that ends the follower, or takes others out of use."""
        fleet = Fleet(region_of=REGION_OF)
        state = StoreState(fleet=fleet, on_removed=lambda start: None)
        objects = {
            name: StoredObject("servers", name, Revision(1, 1), value)
            for name, value in (("i-1", SERVER), ("odd", with_value(SERVER, path, new)))
        }
        trio.run(self.apply, state, objects, clock=MockClock())
        self.assertEqual(fleet.entries["i-1"].address.address, "10.1.2.3")
        self.assertEqual(len(fleet.entries) + state.unusable_entries, 2)

    async def apply(self, state: StoreState, objects: dict[str, StoredObject]) -> None:
        state.apply_servers(objects)
        state.apply_evacuations(objects)
        state.apply_config({"main": objects["odd"]._replace(name="main")})
        self.assertIsNone(state.table)

    @settings(derandomize=True, max_examples=600, deadline=None)
    @given(path=st.sampled_from(paths_in(CONFIG)), new=VALUES)
    def test_configurations(self, path: list[Any], new: Any) -> None:
        """Guards against a configuration that ends the follower in place of being refused."""
        stored = StoredObject("config", "main", Revision(1, 1), with_value(CONFIG, path, new))
        decoded = decode_config(stored)
        if isinstance(decoded, Err):
            self.assertLess(len(str(decoded.err_value)), 500)
