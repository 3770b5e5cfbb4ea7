"""An in-memory stand-in for the users' object store, with the HTTP interface of the real one."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio

from tests.common.narrow_link import NarrowLink
from tests.common.scripted_server import ScriptedStream, response, scripted_server
from wagtailpoint.node_settings import Endpoint

PAGE_SIZE = 2


class _Copy(NamedTuple):
    """The contents of the store at a revision."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    events: list[tuple[int, str, dict[str, Any]]]


class UsersStore:
    """Serves objects by kind and name, with one revision counter and watches.

    It can return to an earlier copy of its contents. Revisions go back then and are given out
    again, and a watch from one that it does not have is refused like one from too long ago.

    Attributes:
        era: Rises with each return to a copy; sent in all answers.
        refusal_status: If set, the status with which every call is answered.
        history_from: Watches from an older revision are answered with status 410.
        calls: Method and target of each request, in order of arrival.
        link: The link over which all answers are sent; None for one without a limit.
    """

    def __init__(self) -> None:
        self.era = 1
        self.refusal_status: int | None = None
        self.history_from = 0
        self.calls: list[str] = []
        self.link: NarrowLink | None = None
        self._revision = 1
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = trio.Event()
        self._copy = _Copy(1, {}, [])

    def keep_copy(self) -> None:
        """Keep a copy of the contents, replacing the one before."""
        self._copy = _Copy(self._revision, dict(self._objects), list(self._events))

    def return_to_copy(self) -> None:
        """Lose all that was written since the copy was made; watches that wait are answered."""
        self.era += 1
        self._revision = self._copy.revision
        self._objects = dict(self._copy.objects)
        self._events = list(self._copy.events)
        self.end_watches()

    async def go_away_and_return(self, away_s: float) -> None:
        """Refuse all calls for some seconds, then return to the copy."""
        self.refusal_status = 503
        self.end_watches()
        await trio.sleep(away_s)
        self.refusal_status = None
        self.return_to_copy()

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, as operators and backend servers do."""
        self._revision += 1
        stored = {"Metadata": {"Name": name, "Revision": self._revision}, "Spec": spec}
        self._objects[kind, name] = stored
        self._record_event(kind, {"Object": stored, "Deleted": False})

    def add_field(self, kind: str, name: str, field: str, value: Any) -> None:
        """Add a field beside the spec of an object, without a new revision."""
        self._objects[kind, name][field] = value

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._revision += 1
        deleted = self._objects.pop((kind, name))
        self._record_event(kind, {"Object": deleted, "Deleted": True})

    def spec(self, kind: str, name: str) -> Any:
        """Return the spec of an object; None if the object does not exist."""
        current = self._objects.get((kind, name))
        return None if current is None else current["Spec"]

    def names(self, kind: str) -> list[str]:
        """Return the sorted names of all objects of a kind."""
        return sorted(name for event_kind, name in self._objects if event_kind == kind)

    def end_watches(self) -> None:
        """Wake all waiting watches, which then check for events and refusal."""
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[Endpoint]:
        """Listen until the context exits; yield the endpoint."""
        async with scripted_server(self._connection) as address:
            yield Endpoint(address.address, address.port)

    def _record_event(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self._revision, kind, event))
        self.end_watches()

    async def _connection(self, stream: ScriptedStream) -> None:
        while True:
            request = await stream.request()
            if not request:
                return
            head, _, body = request.partition(b"\r\n\r\n")
            method, target, _ = head.split(b"\r\n")[0].decode().split(" ")
            self.calls.append(f"{method} {target}")
            status, answer = await self._answer(method, target, body)
            data = msgspec.json.encode(answer)
            data = response(data, f"Store-Era: {self.era}", status=f"{status} X")
            await (self.link.send(stream.stream, data) if self.link else stream.send(data))

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        if self.refusal_status is not None:
            return self.refusal_status, {"Error": "refused"}
        parts = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(parts.query, errors="surrogatepass").items()
        }
        kind, _, name = parts.path.removeprefix("/api/objects/").partition("/")
        if method == "GET" and name:
            current = self._objects.get((kind, name))
            return (200, current) if current else (404, {"Error": "none"})
        if method == "GET" and "Watch" in query:
            return await self._watch(kind, int(query["Watch"]), int(query["WaitMs"]) / 1000)
        if method == "GET":
            return 200, self._page(kind, query.get("after", ""))
        return self._write(method, kind, name, query, body)

    def _page(self, kind: str, after: str) -> dict[str, Any]:
        names = [name for name in self.names(kind) if name > after]
        items = [self._objects[kind, name] for name in names[:PAGE_SIZE]]
        return {"items": items, "HasMore": len(names) > PAGE_SIZE, "StoreRevision": self._revision}

    async def _watch(self, kind: str, since: int, wait_s: float) -> tuple[int, Any]:
        if since < self.history_from:
            return 410, {"Error": "history gone"}
        with trio.move_on_after(wait_s):
            while since <= self._revision and not self._events_since(kind, since):
                await self._changed.wait()
                if self.refusal_status is not None:
                    return self.refusal_status, {"Error": "refused"}
        if since > self._revision:
            return 410, {"Error": "no such revision"}
        return 200, {"events": self._events_since(kind, since), "StoreRevision": self._revision}

    def _events_since(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            event
            for revision, event_kind, event in self._events
            if event_kind == kind and revision > since
        ]

    def _write(
        self, method: str, kind: str, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        written = msgspec.json.decode(body) if body else {"Metadata": {}}
        name = name or written["Metadata"]["Name"]
        current = self._objects.get((kind, name))
        if method == "POST" and current is not None:
            return 409, current
        if method != "POST" and current is None:
            return 404, {"Error": "none"}
        expected_revision = written["Metadata"].get("Revision") or query.get("Revision")
        if (
            current is not None
            and expected_revision
            and int(expected_revision) != current["Metadata"]["Revision"]
        ):
            return 409, current
        if method == "DELETE":
            self.delete(kind, name)
            return 200, current
        self.put(kind, name, written["Spec"])
        return 200, self._objects[kind, name]
