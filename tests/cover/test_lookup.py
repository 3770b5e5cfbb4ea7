"""Lookups: the nearest region of a client, and the ranking of entries."""

import ipaddress
import random
import unittest
from collections import Counter

from result import Err, Ok

from wagtailpoint.admission.refusal import RefusalCode
from wagtailpoint.config.model import ClientBlock, EffectiveConfig, Region, Workspace
from wagtailpoint.errors import InvalidInput
from wagtailpoint.lookup.answer import EntryView, LookupEntry
from wagtailpoint.lookup.blocks import ClientBlocks
from wagtailpoint.lookup.table import LookupTable

REGIONS = {
    "kolkata": Region(
        "kolkata", ("salt-lake", "new-town"), {"siliguri": 55.0, "durgapur": 20.0}, None
    ),
    "siliguri": Region("siliguri", ("matigara",), {"kolkata": 55.0, "durgapur": 55.0}, None),
    "durgapur": Region("durgapur", ("bidhannagar",), {"kolkata": 20.0, "siliguri": 55.0}, None),
}
CONFIG = EffectiveConfig(
    version=7,
    regions=REGIONS,
    services={},
    workspaces={"surakkha": Workspace("surakkha", "t", (), {}, None)},
    moves={},
    drains={},
    client_blocks=(ClientBlock("10.1.0.0/16", "kolkata"),),
)


class ClientBlocksTest(unittest.TestCase):
    def test_longest_prefix_wins(self) -> None:
        blocks = ClientBlocks(
            blocks=[
                ClientBlock("10.0.0.0/8", "siliguri"),
                ClientBlock("10.1.0.0/16", "kolkata"),
                ClientBlock("2001:db8::/32", "durgapur"),
                ClientBlock("2001:db8::1:0/112", "kolkata"),
                ClientBlock("255.255.255.0/24", "kolkata"),
            ]
        )
        expected = {
            "9.255.255.255": None,
            "10.0.255.255": "siliguri",
            "10.1.0.0": "kolkata",
            "10.1.255.255": "kolkata",
            "10.2.0.0": "siliguri",
            "11.0.0.0": None,
            "255.255.255.255": "kolkata",
            "2001:db8::ffff": "durgapur",
            "2001:db8::1:ffff": "kolkata",
            "2001:db8::2:0": "durgapur",
            "2001:db9::": None,
        }
        self.assertEqual({address: blocks.find(address) for address in expected}, expected)

    def test_agrees_with_a_linear_search(self) -> None:
        rng = random.Random(5)
        for bits, kind in ((32, ipaddress.IPv4Address), (128, ipaddress.IPv6Address)):
            networks = {}
            for _ in range(300):
                length = rng.randrange(bits - 12, bits + 1)
                number = rng.randrange(1 << 12) >> (bits - length) << (bits - length)
                networks[f"{kind(number)}/{length}"] = rng.choice(sorted(REGIONS))
            blocks = ClientBlocks(blocks=[ClientBlock(*item) for item in networks.items()])
            parsed = [(ipaddress.ip_network(text), region) for text, region in networks.items()]
            for number in range(1 << 12):
                containing = [block for block in parsed if kind(number) in block[0]]
                longest = max(
                    containing, key=lambda block: block[0].prefixlen, default=(None, None)
                )
                self.assertEqual(blocks.find(str(kind(number))), longest[1], number)

    def test_changed_table_agrees_with_a_new_one(self) -> None:
        """Guards against clients sent to a distant region after a change of nested blocks."""
        rng = random.Random(6)
        for bits, kind in ((32, ipaddress.IPv4Address), (128, ipaddress.IPv6Address)):
            current: dict[str, str] = {}
            table = ClientBlocks(blocks=[])
            for _ in range(150):
                for _ in range(rng.randrange(1, 4)):
                    length = bits if rng.random() < 0.1 else rng.randrange(bits - 8, bits)
                    number = rng.randrange(1 << 8) >> (bits - length) << (bits - length)
                    base = rng.choice([0, (1 << bits) - 256])
                    network = f"{kind(base + number)}/{length}"
                    if current.pop(network, None) is None or rng.random() < 0.3:
                        current[network] = rng.choice(sorted(REGIONS))
                blocks = [ClientBlock(*item) for item in current.items()]
                table = table.with_blocks(blocks)
                rebuilt = ClientBlocks(blocks=blocks)
                for offset in range(0, 260):
                    for number in (offset, (1 << bits) - 1 - offset):
                        address = str(kind(number))
                        self.assertEqual(table.find(address), rebuilt.find(address), address)

    def test_same_blocks_give_the_same_table(self) -> None:
        blocks = [ClientBlock("10.0.0.0/8", "kolkata")]
        table = ClientBlocks(blocks=blocks)
        self.assertIs(table.with_blocks(list(blocks)), table)

    def test_invalid_networks_are_refused(self) -> None:
        for network in ("10.0.0.0", "10.0.0.0/33", "10.0.0/8", "::/129"):
            with self.assertRaises(InvalidInput, msg=network):
                ClientBlocks(blocks=[ClientBlock(network, "kolkata")])


class LookupTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = LookupTable(config=CONFIG, own_failure_domain="bidhannagar")

    def view(self, number: int, region: str, domain: str, **changes: float | bool) -> EntryView:
        view = EntryView(
            f"127.0.0.{number}", 7180, region, domain, f"{number:016x}", 3, False, True, 0.0
        )
        return view._replace(**changes)  # type: ignore[arg-type]

    def ask(self, address: str = "10.1.2.3") -> list[LookupEntry]:
        answer = self.table.answer(workspace="surakkha", address=address)
        assert isinstance(answer, Ok), answer
        return answer.ok_value["entries"]

    def full_view(self) -> list[EntryView]:
        return [
            self.view(1, "kolkata", "salt-lake"),
            self.view(2, "kolkata", "new-town"),
            self.view(3, "siliguri", "matigara"),
            self.view(4, "durgapur", "bidhannagar"),
        ]

    def test_nearest_region_first_then_by_latency(self) -> None:
        self.table.update(self.full_view())
        domains = [entry["failure_domain"] for entry in self.ask()]
        self.assertEqual(set(domains[:2]), {"salt-lake", "new-town"})
        self.assertEqual(domains[2:], ["bidhannagar", "matigara"])
        self.assertIn(f"{1:016x}.3", [entry["binding"] for entry in self.ask()])

    def test_client_in_no_block_gets_the_region_of_the_instance(self) -> None:
        self.table.update(self.full_view())
        self.assertEqual(self.ask("192.0.2.1")[0]["failure_domain"], "bidhannagar")

    def test_dead_and_leaving_entries_are_left_out(self) -> None:
        dead = self.view(1, "kolkata", "salt-lake", alive=False)
        leaving = self.view(2, "kolkata", "new-town", leaving=True)
        self.table.update([dead, leaving, self.view(3, "siliguri", "matigara")])
        self.assertEqual([entry["address"] for entry in self.ask()], ["127.0.0.3"])

    def test_clients_spread_by_free_capacity_and_keep_their_entry(self) -> None:
        busy = self.view(1, "kolkata", "salt-lake", load=0.75)
        idle = self.view(2, "kolkata", "salt-lake", load=0.0)
        self.table.update([busy, idle])
        clients = [f"10.1.{high}.{low}" for high in range(10) for low in range(200)]
        firsts = [self.ask(client)[0]["address"] for client in clients]
        self.assertEqual(firsts, [self.ask(client)[0]["address"] for client in clients])
        self.assertAlmostEqual(Counter(firsts)["127.0.0.1"] / len(firsts), 0.2, delta=0.04)

    def test_refusals(self) -> None:
        cases = [
            ("surakkha", "10.1.2.3", RefusalCode.NOT_READY),
            ("nobody", "10.1.2.3", RefusalCode.UNKNOWN_WORKSPACE),
            ("surakkha", "10.1.2", RefusalCode.BAD_REQUEST),
        ]
        for workspace, address, code in cases:
            answer = self.table.answer(workspace=workspace, address=address)
            assert isinstance(answer, Err), answer
            self.assertEqual(answer.err_value.code, code)
