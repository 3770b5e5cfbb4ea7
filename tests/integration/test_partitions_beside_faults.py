"""Cuts between instances and all backend servers, beside planned work and other faults."""

import math
from http import HTTPStatus

import trio

from tests.common.node_settings_file import server_document, unsplit_config_document
from tests.common.partition_case import SETTLE_S, PartitionCase
from tests.common.partitioned_group import PartitionedGroup
from tests.common.steering_group import CALLER_PORT, HOST, Instance, send_get, wait_until

NOTICED_S = 2.0
CONFIG_APPLY_S = 2.5
DRAIN_S = 2.5
STOP_LIMIT_S = 12.0
CANCELLED_WITHIN_S = 0.5
SLOW_MS = 700


class PartitionsBesideFaultsTest(PartitionCase):
    async def cut(self, group: PartitionedGroup) -> list[str]:
        """Cut a failure domain off and wait until that is noticed."""
        cut = group.of_domain("a-1")
        await group.partition.cut(cut, "reset")
        await trio.sleep(NOTICED_S)
        return cut

    def relay(self, group: PartitionedGroup) -> Instance:
        """Return an instance that relays for those of the failure domain ``a-1``."""
        return next(instance for instance in group.instances if instance.failure_domain == "a-2")

    def test_planned_stop_of_an_instance_that_relays_cuts_nothing(self) -> None:
        """Guards against requests that end with the instance that passes them on."""

        async def test(group: PartitionedGroup) -> None:
            cut = await self.cut(group)
            relay = self.relay(group)
            self.assertIn("event=relay-begins", relay.process.log)
            began = trio.current_time()
            relay.process.terminate()

            async def has_stopped() -> bool:
                return relay.process.exit_code is not None

            await wait_until(has_stopped, STOP_LIMIT_S, "the relay stops")
            await trio.sleep(1.0)
            self.assertEqual(relay.process.exit_code, 0)
            self.assertNotIn("stop-cuts", relay.process.log)
            at_cut, _ = group.tries(cut, began, trio.current_time())
            failed = [entry for entry in at_cut if entry.status != HTTPStatus.OK]
            self.assertEqual(failed, [])
            self.check_promises(group)

        self.run_with(test)

    def test_death_of_an_instance_that_relays_costs_only_what_was_under_way(self) -> None:
        """Guards against callers that fail until the death of a relay is known to all."""

        async def test(group: PartitionedGroup) -> None:
            cut = await self.cut(group)
            relay = self.relay(group)
            began = trio.current_time()
            await trio.to_thread.run_sync(relay.process.kill)
            await trio.sleep(5.0)
            await self.wait_tries(group, cut, began + 0.2)
            at_cut, _ = group.tries(cut, began + 0.2, math.inf)
            self.check_served(at_cut, "after the death of a relay")
            self.check_promises(group)

        self.run_with(test)

    def test_cut_while_the_store_is_away(self) -> None:
        """Guards against a way around the cut that needs the store."""

        async def test(group: PartitionedGroup) -> None:
            group.store.refusal_status = 503
            group.store.end_watches()
            await trio.sleep(1.0)
            cut = await self.cut(group)
            began = trio.current_time()
            await trio.sleep(4.0)
            await self.wait_tries(group, cut, began)
            at_cut, at_others = group.tries(cut, began, math.inf)
            self.check_served(at_cut, "cut off without the store")
            self.check_served(at_others, "others without the store")
            group.store.refusal_status = None
            self.check_promises(group)

        self.run_with(test)

    def test_configuration_and_drains_hold_during_a_cut(self) -> None:
        """Guards against relayed connections that lead past a change of the configuration."""

        async def test(group: PartitionedGroup) -> None:
            cut = await self.cut(group)
            document = unsplit_config_document("00000008")
            (host,) = document["VirtualHosts"]
            added = {**host["PathRoutes"][0], "Name": "r-3", "PathPrefix": "/added/"}
            host["PathRoutes"].append(added)
            group.store.put("config", "main", document)
            drained = group.store.names("servers")[0]
            entry = group.store.spec("servers", drained)
            draining = server_document(entry["Address"], Zone=entry["Zone"], State="draining")
            group.store.put("servers", drained, draining)
            await trio.sleep(max(CONFIG_APPLY_S, DRAIN_S))
            for address in cut:
                status, _ = await send_get(
                    address, CALLER_PORT, "/added/1", f"X-Attempt-Id: added-{address}"
                )
                self.assertEqual(status, 200)
            before = group.servers.runs_at[drained]
            began = trio.current_time()
            await trio.sleep(2.0)
            self.assertEqual(group.servers.runs_at[drained], before)
            await self.wait_tries(group, cut, began)
            at_cut, _ = group.tries(cut, began, math.inf)
            self.check_served(at_cut, "cut off with a drained server")
            self.check_promises(group)

        self.run_with(test)

    def test_close_of_a_caller_reaches_the_backend_server(self) -> None:
        """Guards against backend servers that work on for callers who have left."""

        async def test(group: PartitionedGroup) -> None:
            cut = await self.cut(group)
            stream = await trio.open_tcp_stream(cut[0], CALLER_PORT)
            head = (
                f"GET /look/slow-{SLOW_MS}/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: left\r\n\r\n"
            )
            await stream.send_all(head.encode())

            async def runs() -> bool:
                return group.servers.runs["left"] > 0

            await wait_until(runs, SLOW_MS / 1000, "the request runs")
            await trio.aclose_forcefully(stream)
            await trio.sleep(CANCELLED_WITHIN_S)
            self.assertIn("left", [entry.request_id for entry in group.servers.cancelled])
            self.assertNotEqual(group.servers.senders["left"], cut[0])

        self.run_with(test)

    def test_instance_that_is_cut_off_from_some_peers_as_well(self) -> None:
        """Guards against a verdict that needs all other instances."""

        async def test(group: PartitionedGroup) -> None:
            cut = group.of_domain("a-1")[:1]
            unreached = [*group.of_domain("a-1")[1:], *group.of_domain("a-2")[:1]]
            group.partition.cut_from_peers(cut[0], unreached)
            began = trio.current_time()
            await group.partition.cut(cut, "reset")
            await trio.sleep(6.0)
            await self.wait_tries(group, cut, began + SETTLE_S)
            at_cut, _ = group.tries(cut, began + SETTLE_S, math.inf)
            self.check_served(at_cut, "cut off from some peers, too")
            self.check_promises(group)

        self.run_with(test)

    def test_cut_that_comes_and_goes(self) -> None:
        """Guards against callers that are lost at each change of a path that flaps."""

        async def test(group: PartitionedGroup) -> None:
            cut = group.of_domain("a-1")
            began = trio.current_time()
            for _ in range(5):
                await group.partition.cut(cut, "reset")
                await trio.sleep(1.2)
                group.partition.heal(cut)
                await trio.sleep(0.8)
            await self.wait_tries(group, cut, began + SETTLE_S)
            at_cut, at_others = group.tries(cut, began + SETTLE_S, math.inf)
            self.check_served(at_cut, "cut off again and again")
            self.check_served(at_others, "others")
            self.check_promises(group)

        self.run_with(test)
