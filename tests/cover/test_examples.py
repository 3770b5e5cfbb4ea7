"""The example deployments are valid and have the expected sizes."""

import unittest
from collections import Counter

from examples.deployment import DEPLOYMENTS, load_deployment

from wagtailpoint.config.compile import compile_config


class DeploymentTest(unittest.TestCase):
    def test_objects_compile(self) -> None:
        for name in DEPLOYMENTS:
            with self.subTest(name=name):
                objects = load_deployment(name).objects
                config = compile_config(version=1, objects=objects).unwrap()
                domains = [domain for r in config.regions.values() for domain in r.failure_domains]
                self.assertEqual((len(config.regions), len(domains)), (3, 6))
                for service in config.services.values():
                    servers = [server for group in service.groups.values() for server in group]
                    self.assertIn(len(servers), (12, 24))
                    self.assertEqual({server.slots for server in servers}, {3})
                    spread = Counter(server.failure_domain for server in servers)
                    self.assertEqual(set(spread.values()), {len(servers) // len(domains)})

    def test_settings_are_valid(self) -> None:
        for name in DEPLOYMENTS:
            with self.subTest(name=name):
                deployment = load_deployment(name)
                config = compile_config(version=1, objects=deployment.objects).unwrap()
                self.assertEqual(len(deployment.settings), 9)
                for settings in deployment.settings:
                    region = config.regions[settings.region]
                    self.assertIn(settings.failure_domain, region.failure_domains)

    def test_acquired_workspaces_have_separate_backend_servers(self) -> None:
        objects = load_deployment("surakkha").objects
        config = compile_config(version=1, objects=objects).unwrap()
        groups = [workspace.groups["deposit-desk"] for workspace in config.workspaces.values()]
        self.assertEqual(Counter(groups), {"main": 1, "acquired": 3})

    def test_with_network_replaces_every_address(self) -> None:
        for name in DEPLOYMENTS:
            with self.subTest(name=name):
                before = load_deployment(name)
                after = load_deployment(name, prefix="127.99.7")
                self.assertEqual(after.prefix, "127.99.7")
                self.assertNotIn(before.prefix + ".", str(after))
                self.assertEqual(after.with_network(before.prefix), before)
