"""Loads the example deployments: objects for the platform and settings for each instance.

All addresses of a deployment lie in one loopback network, ``127.a.b.0/24``. The network can be
replaced, so that several deployments can run on one machine at the same time.
"""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from wagtailpoint.config.files import read_objects
from wagtailpoint.settings import Settings, check_settings

DEPLOYMENTS = ("surakkha", "heather-isles")
_DIRECTORY = Path(__file__).parent


class Deployment(NamedTuple):
    """The objects and settings of one deployment.

    Attributes:
        name: Name of its directory in ``examples``.
        objects: JSON value of each configuration object, by ``kind/name``.
        settings_files: JSON value of each instance's settings file, by the instance's name.
    """

    name: str
    objects: Mapping[str, Any]
    settings_files: Mapping[str, Any]

    @property
    def settings(self) -> tuple[Settings, ...]:
        """The checked settings of all instances, in the order of the instances' names.

        Raises:
            result.UnwrapError: A settings file is invalid.
        """
        return tuple(check_settings(value).unwrap() for value in self.settings_files.values())

    @property
    def prefix(self) -> str:
        """The loopback network of the deployment, for example ``127.20.1``."""
        first: str = next(iter(self.settings_files.values()))["address"]
        return first.rpartition(".")[0]

    def with_network(self, prefix: str) -> "Deployment":
        """Return a copy with all addresses in the loopback network ``prefix`` (``127.a.b``)."""
        before, after = f"{self.prefix}.", f"{prefix}."
        return self._replace(
            objects=_replace_prefix(self.objects, before, after),
            settings_files=_replace_prefix(self.settings_files, before, after),
        )


def load_deployment(name: str, *, prefix: str | None = None) -> Deployment:
    """Load an example deployment.

    Args:
        name: One of ``DEPLOYMENTS``.
        prefix: Loopback network ``127.a.b`` to use instead of the files' network; None keeps that.

    Raises:
        result.UnwrapError: The object files can't be read or are invalid.
    """
    directory = _DIRECTORY / name
    settings_files = {
        path.stem: json.loads(path.read_text())
        for path in sorted((directory / "settings").glob("*.json"))
    }
    objects = read_objects([directory / "objects"]).unwrap()
    deployment = Deployment(name, objects, settings_files)
    return deployment.with_network(prefix) if prefix else deployment


def _replace_prefix(value: Any, before: str, after: str) -> Any:
    if isinstance(value, str) and value.startswith(before):
        return after + value.removeprefix(before)
    if isinstance(value, dict):
        return {key: _replace_prefix(item, before, after) for key, item in value.items()}
    if isinstance(value, list):
        return [_replace_prefix(item, before, after) for item in value]
    return value
