"""Compiling objects into the effective configuration, and the mistakes that are rejected."""

import copy
import unittest
from typing import Any

from result import Err, Ok

from wagtailpoint.config.compile import compile_config

OBJECTS: dict[str, Any] = {
    "region/east": {"failure_domains": ["east-a", "east-b"], "latency_ms": {"west": 20}},
    "region/west": {"failure_domains": ["west-a"], "latency_ms": {"east": 20}},
    "service/desk": {
        "groups": {
            "main": [
                {"address": "127.0.0.1", "port": 9000, "failure_domain": "east-a", "slots": 3}
            ],
            "acquired": [
                {"address": "127.0.0.2", "port": 9000, "failure_domain": "west-a", "slots": 3}
            ],
        },
        "classes": {
            "lookup": {"priority": 0, "ceiling": 1},
            "bulk": {"priority": 1, "ceiling": 0.5},
        },
    },
    "template/firm": {
        "parameters": {
            "group": {"type": "string", "default": "main"},
            "most": {"type": "number", "minimum": 1, "maximum": 1000},
            "area": {"type": "string", "default": "area"},
        },
        "workspace": {
            "routes": [
                {
                    "method": "GET",
                    "prefix": "/${area}/balance",
                    "service": "desk",
                    "class": "lookup",
                    "idempotent": True,
                    "timeout_ms": 2000,
                },
                {
                    "prefix": "/bulk",
                    "service": "desk",
                    "class": "bulk",
                    "idempotent": True,
                    "timeout_ms": 5000,
                    "bulk": True,
                },
            ],
            "groups": {"desk": "${group}"},
            "max_rps": "${most}",
        },
    },
    "workspace/own": {"template": "firm", "parameters": {"most": 100}},
    "move/shift": {
        "workspace": "own",
        "service": "desk",
        "from_group": "main",
        "to_group": "acquired",
        "cap_rps": 50,
        "steps": [0.1, 0.5, 1],
        "hold_s": 5,
    },
    "drain/one": {"backend_server": {"address": "127.0.0.1", "port": 9000}},
    "blocks/east": {"region": "east", "networks": ["10.1.0.0/16"]},
}

# The change (object, path to the field, new value), then the path and a part of the error message.
MISTAKES: list[tuple[str, list[Any], Any, str, str]] = [
    ("region/east", ["capacity"], 5, "region/east: capacity", "did you mean 'capacity_rps'"),
    ("region/east", ["latency_ms"], {}, "region/east: latency_ms.west", "milliseconds"),
    ("region/east", ["latency_ms", "wets"], 5, "region/east: latency_ms.wets", "'west'"),
    ("region/east", ["latency_ms", "west"], "20ms", "region/east: latency_ms.west", "a number"),
    ("region/east", ["capacity_rps"], 10**400, "region/east: capacity_rps", "a number"),
    ("region/west", ["failure_domains"], ["east-a"], "region/west: failure_domains[0]", "too"),
    (
        "service/desk",
        ["groups", "main", 0, "failure_domain"],
        "east-c",
        "service/desk: groups.main[0].failure_domain",
        "did you mean 'east-",
    ),
    (
        "service/desk",
        ["groups", "main", 0, "address"],
        "127.0.0.2",
        "service/desk: groups.acquired[0]",
        "groups.main[0] has it too",
    ),
    (
        "service/desk",
        ["groups", "main", 0, "slots"],
        0,
        "service/desk: groups.main[0].slots",
        "from 1",
    ),
    ("service/desk", ["groups", "main"], [], "service/desk: groups.main", "at least one"),
    (
        "service/desk",
        ["classes", "bulk", "priority"],
        0,
        "service/desk: classes.bulk.priority",
        "of its own",
    ),
    (
        "service/desk",
        ["classes", "lookup", "ceiling"],
        0.2,
        "service/desk: classes.bulk.ceiling",
        "at most 0.2",
    ),
    (
        "template/firm",
        ["workspace", "routes", 1, "timeout_ms"],
        "2s",
        "workspace/own: routes[1].timeout_ms",
        "milliseconds",
    ),
    (
        "template/firm",
        ["workspace", "routes", 1],
        {"prefix": "/b", "service": "desk", "class": "bulk", "idempotent": True},
        "workspace/own: routes[1].timeout_ms",
        "written in template/firm",
    ),
    (
        "template/firm",
        ["workspace", "routes", 1, "class"],
        "bluk",
        "workspace/own: routes[1].class",
        "did you mean 'bulk'",
    ),
    (
        "template/firm",
        ["workspace", "routes", 1, "service"],
        "desks",
        "workspace/own: routes[1].service",
        "did you mean 'desk'",
    ),
    (
        "template/firm",
        ["workspace", "groups", "desk"],
        "${gruop}",
        "template/firm: workspace.groups.desk",
        "did you mean 'group'",
    ),
    ("workspace/own", ["template"], "frim", "workspace/own: template", "did you mean 'firm'"),
    ("workspace/own", ["parameters"], {}, "workspace/own: parameters.most", "from 1 up to 1000"),
    ("workspace/own", ["parameters", "most"], 5000, "workspace/own: parameters.most", "up to 1000"),
    ("workspace/own", ["parameters", "most"], "9", "workspace/own: parameters.most", "(number)"),
    ("workspace/own", ["parameters", "mots"], 9, "workspace/own: parameters.mots", "'most'"),
    ("workspace/own", ["parameters", "group"], "x", "workspace/own: groups.desk", "acquired, main"),
    ("move/shift", ["cap_rps"], 0, "move/shift: cap_rps", "above 0"),
    ("move/shift", ["to_group"], "other", "move/shift: to_group", "acquired, main"),
    ("move/shift", ["from_group"], "acquired", "move/shift: to_group", "another group"),
    ("move/shift", ["workspace"], "owm", "move/shift: workspace", "did you mean 'own'"),
    ("move/shift", ["steps"], [0.5, 0.1], "move/shift: steps", "rising"),
    ("move/shift", ["state"], "stop", "move/shift: state", "abort, pause, run"),
    ("drain/one", ["backend_server", "port"], 9001, "drain/one: backend_server", "of a service"),
    ("drain/one", ["failure_domain"], "east-a", "drain/one", "exactly one"),
    ("blocks/east", ["region"], "north", "blocks/east: region", "east, west"),
    ("blocks/east", ["networks", 0], "10.1.0.1/16", "blocks/east: networks[0]", "no bits set"),
    ("blocks/east", ["networks", 0], "10.1.0.1", "blocks/east: networks[0]", "ADDRESS/LENGTH"),
    ("blocks/east", ["networks", 0], "10.1.0.0/33", "blocks/east: networks[0]", "ADDRESS/LENGTH"),
    ("blocks/east", ["networks"], ["::/8", "::/8"], "blocks/east: networks", "of its own"),
]


def changed(key: str, path: list[Any], value: Any) -> dict[str, Any]:
    """Return the objects with one field changed."""
    objects = copy.deepcopy(OBJECTS)
    target = objects[key]
    for step in path[:-1]:
        target = target[step]
    target[path[-1]] = value
    return objects


class CompileConfigTest(unittest.TestCase):
    def test_compiles(self) -> None:
        result = compile_config(version=7, objects=OBJECTS)
        assert isinstance(result, Ok), result
        config = result.ok_value
        workspace = config.workspaces["own"]
        self.assertEqual(config.version, 7)
        self.assertEqual(workspace.max_rps, 100)
        self.assertEqual(workspace.groups, {"desk": "main"})
        self.assertEqual(workspace.routes[0].prefix, "/area/balance")
        self.assertEqual(workspace.routes[0].timeout_s, 2.0)
        self.assertEqual(config.client_blocks[0].region, "east")

    def test_each_mistake_is_reported_with_its_path(self) -> None:
        for key, path, value, place, words in MISTAKES:
            with self.subTest(place=place, value=value):
                result = compile_config(version=1, objects=changed(key, path, value))
                assert isinstance(result, Err)
                found = {item.path: item.expected for item in result.err_value.mistakes}
                self.assertIn(place, found)
                self.assertIn(words, found[place])

    def test_all_mistakes_are_collected(self) -> None:
        objects = changed("move/shift", ["cap_rps"], 0)
        objects["drain/one"] = {"failure_domain": "nowhere"}
        objects["moves/typo"] = {}
        result = compile_config(version=1, objects=objects)
        assert isinstance(result, Err)
        paths = [item.path for item in result.err_value.mistakes]
        self.assertEqual(
            sorted(paths), ["drain/one: failure_domain", "move/shift: cap_rps", "moves/typo"]
        )

    def test_rejects_two_moves_of_the_same_workspace_and_service(self) -> None:
        objects = {**OBJECTS, "move/z": OBJECTS["move/shift"]}
        result = compile_config(version=1, objects=objects)
        assert isinstance(result, Err)
        self.assertEqual([item.path for item in result.err_value.mistakes], ["move/z: workspace"])

    def test_workspace_may_name_the_target_group_of_a_finished_move(self) -> None:
        objects = changed("workspace/own", ["parameters", "group"], "acquired")
        self.assertTrue(compile_config(version=1, objects=objects).is_ok())
