"""Loads the example deployments: objects for the platform and settings for each instance.

All addresses of a deployment lie in one loopback network, ``127.a.b.0/24``. It can be moved to
another one, so that several deployments run on one machine at the same time.
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
    """One deployment.

    Attributes:
        name: Its directory under ``examples``.
        objects: The JSON value of each configuration object, by ``kind/name``.
        settings_files: The JSON of each instance's settings file, by the instance's name.
    """

    name: str
    objects: Mapping[str, Any]
    settings_files: Mapping[str, Any]

    @property
    def settings(self) -> tuple[Settings, ...]:
        """The checked settings of each instance, in the order of their names.

        Raises:
            result.UnwrapError: A settings file is invalid.
        """
        return tuple(check_settings(value).unwrap() for value in self.settings_files.values())

    @property
    def prefix(self) -> str:
        """The loopback network of the deployment, for example ``127.20.1``."""
        first: str = next(iter(self.settings_files.values()))["address"]
        return first.rpartition(".")[0]

    def rebased(self, prefix: str) -> "Deployment":
        """The same deployment with all its addresses moved to ``prefix`` (``127.a.b``)."""
        before, after = f"{self.prefix}.", f"{prefix}."
        return self._replace(
            objects=_rebase(self.objects, before, after),
            settings_files=_rebase(self.settings_files, before, after),
        )


def load_deployment(name: str, *, prefix: str | None = None) -> Deployment:
    """Load a deployment.

    Args:
        name: One of ``DEPLOYMENTS``.
        prefix: A loopback network ``127.a.b`` to move it to; None keeps the files' own.

    Raises:
        result.UnwrapError: The files are no valid JSON objects.
    """
    directory = _DIRECTORY / name
    settings_files = {
        path.stem: json.loads(path.read_text())
        for path in sorted((directory / "settings").glob("*.json"))
    }
    objects = read_objects([directory / "objects"]).unwrap()
    deployment = Deployment(name, objects, settings_files)
    return deployment.rebased(prefix) if prefix else deployment


def _rebase(value: Any, before: str, after: str) -> Any:
    if isinstance(value, str) and value.startswith(before):
        return after + value.removeprefix(before)
    if isinstance(value, dict):
        return {key: _rebase(item, before, after) for key, item in value.items()}
    if isinstance(value, list):
        return [_rebase(item, before, after) for item in value]
    return value
