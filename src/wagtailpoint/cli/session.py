"""The connections of a command to the platform and to the entries."""

import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any, NamedTuple

import httpcore
import trio
from result import Err, Ok, Result

from wagtailpoint.adapters.checked_network import CheckedNetwork
from wagtailpoint.adapters.platform_http import HttpPlatform
from wagtailpoint.cli.failures import EntryUnreachable, InvalidMergedConfig, wrong_input
from wagtailpoint.cli.profile import EntryAddress, Profile
from wagtailpoint.config.compile import compile_config
from wagtailpoint.config.manifest import Snapshot
from wagtailpoint.config.store import ConfigStore
from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.errors import InvalidInput, PlatformUnavailable
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.platform.store import ObjectStore
from wagtailpoint.ports.platform import ListedInstance, Platform
from wagtailpoint.settings import PlatformAddress
from wagtailpoint.tcp_options import LIVENESS_OPTIONS
from wagtailpoint.untrusted_input import decode_json

PLATFORM_TIMEOUT_S = 5.0
ENTRY_TIMEOUT_S = 3.0
_HTTP_OK = 200

OpenStore = Callable[[Endpoint], AbstractAsyncContextManager[Platform]]
OpenPlatform = Callable[[Sequence[PlatformAddress]], AbstractAsyncContextManager[Platform]]
Fetch = Callable[[EntryAddress, str], Awaitable[Result[Any, EntryUnreachable]]]


def open_http_platform(
    addresses: Sequence[PlatformAddress],
) -> AbstractAsyncContextManager[Platform]:
    """Open a connection to the platform's object API."""
    return HttpPlatform(addresses=addresses, timeout_s=PLATFORM_TIMEOUT_S)


@asynccontextmanager
async def open_object_store(address: Endpoint) -> AsyncIterator[Platform]:
    """Open a connection to the object store of a deployment on the users' platform."""
    store = ObjectStore(
        address=address,
        timeout_s=PLATFORM_TIMEOUT_S,
        metrics=Metrics(),
        era=StoreEra(metrics=Metrics()),
    )
    try:
        yield store
    finally:
        await store.aclose()


async def fetch_json(entry: EntryAddress, target: str) -> Result[Any, EntryUnreachable]:
    """GET a JSON document from one entry instance."""
    address = f"[{entry.address}]" if ":" in entry.address else entry.address
    limit = dict.fromkeys(("connect", "read", "write", "pool"), ENTRY_TIMEOUT_S)
    try:
        with trio.fail_after(ENTRY_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool(
                socket_options=LIVENESS_OPTIONS, network_backend=CheckedNetwork()
            ) as pool:
                response = await pool.request(
                    "GET", f"http://{address}:{entry.port}{target}", extensions={"timeout": limit}
                )
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
        return Err(EntryUnreachable(f"{entry}: {error!r}"))
    except trio.TooSlowError:
        return Err(EntryUnreachable(f"{entry}: no answer within {ENTRY_TIMEOUT_S:g} s"))
    if response.status != _HTTP_OK:
        text = response.content.decode(errors="replace")[:200]
        return Err(EntryUnreachable(f"{entry}: answered {response.status} {text}"))
    return decode_json(response.content, Any).map_err(
        lambda error: EntryUnreachable(f"{entry}: answer is no JSON: {error}")
    )


class Tools(NamedTuple):
    """The functions that access the network and the clock; tests replace them by fakes.

    Attributes:
        open_platform: Connects to the platform's object API.
        open_store: Connects to the object store of a deployment on the users' platform.
        fetch: Gets a JSON document from an entry.
        clock_wall: Returns the seconds since the Unix epoch.
        settle_s: Longest time, in seconds, to read back a write whose answer was lost.
    """

    open_platform: OpenPlatform = open_http_platform
    open_store: OpenStore = open_object_store
    fetch: Fetch = fetch_json
    clock_wall: Callable[[], float] = time.time
    settle_s: float = 10.0


def _check_merged(snapshot: Snapshot) -> None:
    """Refuse a change that is invalid when merged with concurrent changes.

    The store merges concurrent changes of different objects, each of which was checked without the
    other: for example, one deletes a workspace and one plans its move. Instances that can't compile
    the result keep their last valid configuration, so it would be accepted and never come into
    force.

    Raises:
        InvalidMergedConfig: The merged configuration is invalid.
    """
    compiled = compile_config(version=snapshot.change.version, objects=snapshot.objects)
    if isinstance(compiled, Err):
        raise InvalidMergedConfig(compiled.err_value.mistakes)


class Session:
    """The profile and the connections of one run of the tool."""

    def __init__(self, *, profile: Profile, tools: Tools) -> None:
        self._profile = profile
        self._tools = tools

    @property
    def profile(self) -> Profile:
        """The addresses of the platform and the entries, and the author."""
        return self._profile

    @asynccontextmanager
    async def open_store(self) -> AsyncIterator[Result[ConfigStore, InvalidInput]]:
        """Open the configuration store on the platform."""
        async with self.open_objects() as opened:
            yield opened.map(
                lambda platform: ConfigStore(
                    platform=platform,
                    clock_wall=self._tools.clock_wall,
                    settle_s=self._tools.settle_s,
                    check=_check_merged,
                )
            )

    @asynccontextmanager
    async def open_objects(
        self, store: Endpoint | None = None
    ) -> AsyncIterator[Result[Platform, InvalidInput]]:
        """Open the object API of the platform.

        Args:
            store: Object store of a deployment on the users' platform, used instead of the
                platform of the profile; None takes the profile's.
        """
        if store is not None:
            async with self._tools.open_store(store) as objects:
                yield Ok(objects)
        elif self._profile.platform:
            async with self._tools.open_platform(self._profile.platform) as platform:
                yield Ok(platform)
        else:
            expected = "--platform ADDRESS:PORT, or a profile that names it"
            yield Err(wrong_input("--platform", "nothing", expected))

    async def listed_instances(
        self,
    ) -> Result[Sequence[ListedInstance], PlatformUnavailable]:
        """Read the platform's list of instances, which lags behind their actual state."""
        async with self._tools.open_platform(self._profile.platform) as platform:
            return await platform.instances()

    async def ask(self, entry: EntryAddress, target: str) -> Result[Any, EntryUnreachable]:
        """GET a JSON document from one entry."""
        return await self._tools.fetch(entry, target)

    async def ask_any(self, target: str) -> Result[Any, InvalidInput | EntryUnreachable]:
        """GET a JSON document from the first entry that answers."""
        if not self._profile.entries:
            expected = "--entry ADDRESS:PORT, or a profile that names some"
            return Err(wrong_input("--entry", "nothing", expected))
        reasons = []
        for entry in self._profile.entries:
            answer = await self.ask(entry, target)
            if isinstance(answer, Ok):
                return answer
            reasons.append(answer.err_value.reason)
        return Err(EntryUnreachable("; ".join(reasons)))

    async def ask_all(
        self, entries: Sequence[EntryAddress], target: str
    ) -> dict[EntryAddress, Result[Any, EntryUnreachable]]:
        """GET a JSON document from several entries concurrently."""
        answers: dict[EntryAddress, Result[Any, EntryUnreachable]] = {}

        async def ask_one(entry: EntryAddress) -> None:
            answers[entry] = await self.ask(entry, target)

        async with trio.open_nursery() as nursery:
            for entry in entries:
                nursery.start_soon(ask_one, entry)
        return answers
