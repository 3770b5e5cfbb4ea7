"""Addresses of the platform and the entries, from options or from a profile file."""

import getpass
from pathlib import Path
from typing import Any, NamedTuple

import click
from result import Err, Ok, Result

from wagtailpoint.checking import MAX_PORT, ObjectReader, is_ip_number, parse_json
from wagtailpoint.errors import InvalidInput, Mistake
from wagtailpoint.settings import PlatformAddress
from wagtailpoint.untrusted_input import parse_count


class EntryAddress(NamedTuple):
    """Address and port at which an entry instance listens for HTTP."""

    address: str
    port: int

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class Profile(NamedTuple):
    """Addresses of the platform and the entries, and the default author of changes.

    Attributes:
        platform: Servers of the platform's object API.
        entries: Entry instances to query; their status names the other instances.
        author: Author recorded in each change; None takes the name of the system's user.
    """

    platform: tuple[PlatformAddress, ...] = ()
    entries: tuple[EntryAddress, ...] = ()
    author: str | None = None


class AddressType(click.ParamType[EntryAddress]):
    """The type of an ``ADDRESS:PORT`` argument on the command line."""

    name = "address:port"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> EntryAddress:
        """Parse one address.

        Raises:
            click.UsageError: The value isn't an IP number with a port.
        """
        if isinstance(value, EntryAddress):
            return value
        address, _, port_text = str(value).rpartition(":")
        port = parse_count(port_text)
        address = address.removeprefix("[").removesuffix("]")
        if is_ip_number(address) and port is not None and 0 < port <= MAX_PORT:
            return EntryAddress(address, port)
        return self.fail(
            f"given {value!r}, expected IP-NUMBER:PORT such as 10.0.0.7:8080", param, ctx
        )


def read_profile(path: Path) -> Result[Profile, InvalidInput]:
    """Read and check a profile file."""
    try:
        text = path.read_bytes()
    except OSError as error:
        mistake = Mistake(str(path), error.strerror or str(error), "a readable profile file")
        return Err(InvalidInput([mistake]))
    return parse_json(text, path=str(path)).and_then(
        lambda value: _check_profile(value, f"{path}: ")
    )


def default_author() -> str:
    """Return the name of the system's user, or ``unknown`` if it can't be determined."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _check_profile(value: Any, path: str) -> Result[Profile, InvalidInput]:
    mistakes: list[Mistake] = []
    reader = ObjectReader(value=value, path=path, mistakes=mistakes)
    platform = [
        PlatformAddress(*_read_address(item))
        for item in reader.objects("platform", expected='{"address", "port"}', default=[])
    ]
    entries = [
        EntryAddress(*_read_address(item))
        for item in reader.objects("entries", expected='{"address", "port"}', default=[])
    ]
    author = reader.text("author") if reader.has("author") else None
    reader.mark_known("author")
    reader.finish()
    profile = Profile(tuple(platform), tuple(entries), author)
    return Err(InvalidInput(mistakes)) if mistakes else Ok(profile)


def _read_address(reader: ObjectReader) -> tuple[str, int]:
    found = (reader.ip_number("address"), reader.port("port"))
    reader.finish()
    return found
