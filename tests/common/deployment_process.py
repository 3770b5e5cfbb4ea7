"""A whole example deployment as separate processes: platform, backend servers, entry instances.

The demo, the integration tests and the benches use it, so that all of them run the same programs.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import httpcore
import msgspec
from examples.deployment import load_deployment

from tests.common.backend_worker import Mode
from tests.common.platform_process import fresh_address
from tests.common.processes import LIMIT_S, ROOT, ModuleProcess, started_together
from wagtailpoint.caller import Caller
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.ports.platform import ListedInstance
from wagtailpoint.settings import Settings, check_settings

POLL_INTERVAL_S = 0.05
FIRST_EXTRA_OCTET = 201
"""Last octet of the first address that no settings file of an example uses."""


class EntryProcess(ModuleProcess):
    """One entry instance; its settings file is kept for a restart."""

    def __init__(self, *, settings: Settings, settings_file: Path) -> None:
        self.settings = settings
        super().__init__(
            module="wagtailpoint.daemon.main",
            arguments=["--settings", str(settings_file)],
            address=settings.address,
            port=settings.port,
        )

    @property
    def place(self) -> tuple[str, int]:
        """Address and port for callers and operators."""
        return self.settings.address, self.settings.port

    def page(self, name: str) -> Any:
        """Return a page of its API, decoded; for example ``status``."""
        url = f"http://{self.settings.address}:{self.settings.port}/v1/{name}"
        limit = dict.fromkeys(("connect", "read", "write", "pool"), LIMIT_S)
        answer = httpcore.request("GET", url, extensions={"timeout": limit})
        return msgspec.json.decode(answer.content)


class BackendsProcess(ModuleProcess):
    """All backend servers of one service, in one process."""

    def __init__(self, *, service: str, servers: Sequence[BackendAddress], options: Sequence[str]):
        first = servers[0]
        more_servers = [text for server in servers[1:] for text in ("--also", str(server))]
        self.servers = tuple(servers)
        super().__init__(
            module="tests.common.backend_standin",
            arguments=[
                *("--address", first.address, "--port", str(first.port), "--service", service),
                *more_servers,
                *options,
            ],
            address=first.address,
            port=first.port,
        )

    def control(self, server: BackendAddress, method: str, path: str, value: Any = None) -> Any:
        """Set faults of one backend server, or read its record."""
        url = f"http://{server}/standin/{path}"
        answer = httpcore.request(method, url, content=msgspec.json.encode(value))
        return msgspec.json.decode(answer.content)

    def set_mode(self, **modes: Any) -> None:
        """Set the same faults on all backend servers; see ``backend_worker.Mode``."""
        unknown = modes.keys() - Mode.__annotations__.keys()
        if unknown:
            # Otherwise a test with a misspelt fault would pass without the fault.
            raise ValueError(f"given the modes {unknown}, expected those of backend_worker.Mode")
        for server in self.servers:
            self.control(server, "POST", "mode", modes)

    def records(self) -> dict[BackendAddress, Any]:
        """Return the record of each backend server."""
        return {server: self.control(server, "GET", "record") for server in self.servers}


def count_live(entry: EntryProcess) -> int:
    """Return how many live instances an instance knows, itself included."""
    return sum(member["state"] == "live" for member in entry.page("status")["members"])


class RunningDeployment:
    """Context manager that runs an example deployment.

    Args:
        name: Name of a deployment in ``examples.deployment.DEPLOYMENTS``.
        entries: Number of entry instances.
        timings: Overrides timings of the settings.
        settings: Overrides other settings, for example ``log_level``.
        limits: Overrides limits of the settings.
        backend_options: Command-line options of the backend stand-ins.
        platform_options: Command-line options of the platform stand-in.
    """

    def __init__(
        self,
        *,
        name: str,
        entries: int = 3,
        timings: Mapping[str, float] | None = None,
        limits: Mapping[str, int] | None = None,
        settings: Mapping[str, Any] | None = None,
        backend_options: Sequence[str] = (),
        platform_options: Sequence[str] = (),
    ) -> None:
        prefix = fresh_address().rpartition(".")[0]
        self._deployment = load_deployment(name, prefix=prefix)
        self._stack = ExitStack()
        self._directory = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        files = self._select_settings_files(entries)
        changes = {"timings": timings or {}, "limits": limits or {}}
        files = {name: {**value, **(settings or {})} for name, value in files.items()}
        self.entries = [self._entry(file, value, changes) for file, value in files.items()]
        platform = self.entries[0].settings.platform[0]
        self.platform = ModuleProcess(
            module="tests.common.platform_standin",
            arguments=[
                *("--address", platform.address, "--port", str(platform.port)),
                *platform_options,
            ],
            address=platform.address,
            port=platform.port,
        )
        self.backends = {
            service: BackendsProcess(service=service, servers=servers, options=backend_options)
            for service, servers in self._servers().items()
        }
        self._profile = self._directory / "profile.json"
        self._write_profile(platform.address, platform.port)

    @property
    def objects(self) -> Mapping[str, Any]:
        """The configuration objects by ``kind/name``, with the addresses of this run."""
        return self._deployment.objects

    @property
    def objects_file(self) -> Path:
        """Path of a file with all configuration objects, for ``wagtailpoint apply``."""
        path = self._directory / "objects.json"
        path.write_text(json.dumps(dict(self.objects)))
        return path

    def cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command-line tool without checking its exit code."""
        path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        return subprocess.run(
            [sys.executable, "-m", "wagtailpoint.cli", *arguments],
            env={**os.environ, "PYTHONPATH": path, "WAGTAILPOINT_PROFILE": str(self._profile)},
            capture_output=True,
            text=True,
            timeout=2 * LIMIT_S,
            check=False,
        )

    def apply_objects(self) -> None:
        """Apply all configuration objects and wait until they are in force on all instances."""
        result = self.cli("apply", str(self.objects_file), "--wait")
        if result.returncode != 0:
            raise RuntimeError(f"apply: exit {result.returncode}\n{result.stdout}{result.stderr}")

    def set_platform(self, **modes: Any) -> None:
        """Switch faults of the platform on or off; see ``platform_standin.Modes``."""
        self._control_platform("POST", "mode", modes)

    def platform_counts(self) -> Any:
        """Return the counts of calls to the platform; see ``PlatformProcess.counts``."""
        return self._control_platform("GET", "counts", None)

    def set_instances(self, places: Sequence[tuple[str, str]]) -> None:
        """Set the platform's list of live instances, as pairs of address and failure domain."""
        listed = [ListedInstance(address, domain, "live")._asdict() for address, domain in places]
        self._control_platform("PUT", "instances", listed)

    def _control_platform(self, method: str, path: str, value: Any) -> Any:
        platform = self.entries[0].settings.platform[0]
        url = f"http://{platform.address}:{platform.port}/standin/{path}"
        answer = httpcore.request(method, url, content=msgspec.json.encode(value))
        return msgspec.json.decode(answer.content)

    def wait_members(self) -> None:
        """Wait until every instance sees all instances as live."""
        deadline_s = time.monotonic() + LIMIT_S
        for entry in self.entries:
            while count_live(entry) < len(self.entries):
                if time.monotonic() > deadline_s:
                    seen = [
                        (member["address"], member["state"])
                        for member in entry.page("status")["members"]
                    ]
                    raise RuntimeError(f"{entry.place} sees {seen}")
                time.sleep(POLL_INTERVAL_S)

    def caller(self, workspace: str, *, address: str | None = None) -> Caller:
        """Return a caller that knows all entries; by default with the address of the first one."""
        client = address or self.entries[0].settings.address
        places = [entry.place for entry in self.entries]
        return Caller(entries=places, workspace=workspace, address=client, seed=1)

    def __enter__(self) -> Self:
        try:
            processes = [self.platform, *self.backends.values(), *self.entries]
            self._stack.enter_context(started_together(*processes))
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stack.__exit__(exception_type, exception, traceback)

    def _select_settings_files(self, count: int) -> Mapping[str, Any]:
        """Return ``count`` settings files, from as many failure domains as possible."""
        by_domain: dict[str, list[str]] = {}
        for name, value in self._deployment.settings_files.items():
            by_domain.setdefault(value["failure_domain"], []).append(name)
        rounds = max(len(names) for names in by_domain.values())
        order = [names[i] for i in range(rounds) for names in by_domain.values() if i < len(names)]
        files = {name: self._deployment.settings_files[name] for name in order[:count]}
        for number in range(count - len(order)):
            files[f"more-{number}"] = self._extra_settings(order[number % len(order)], number)
        return files

    def _extra_settings(self, original: str, number: int) -> Any:
        """Return settings of an additional instance in the failure domain of an existing one."""
        value = self._deployment.settings_files[original]
        address = f"{self._deployment.prefix}.{FIRST_EXTRA_OCTET + number}"
        return {**value, "address": address}

    def _entry(self, name: str, value: Any, changes: Mapping[str, Any]) -> EntryProcess:
        changed = {**value}
        for part, values in changes.items():
            changed[part] = {**value.get(part, {}), **values}
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(changed))
        return EntryProcess(settings=check_settings(changed).unwrap(), settings_file=path)

    def _servers(self) -> dict[str, list[BackendAddress]]:
        servers: dict[str, list[BackendAddress]] = {}
        for key, value in self.objects.items():
            kind, _, service = key.partition("/")
            if kind == "service":
                servers[service] = [
                    BackendAddress(server["address"], server["port"])
                    for group in value["groups"].values()
                    for server in group
                ]
        return servers

    def _write_profile(self, address: str, port: int) -> None:
        entries = [
            {"address": entry.settings.address, "port": entry.settings.port}
            for entry in self.entries
        ]
        profile = {"platform": [{"address": address, "port": port}], "entries": entries}
        self._profile.write_text(json.dumps(profile))
