"""A stand-in for the platform's object store, which keeps each object's spec as the bytes given."""

import asyncio
import json
import time
from contextlib import suppress
from typing import NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from common.http import Request, Response, serve_http

PAGE_SIZE = 500
PAGE_BYTES = 1_048_576
HISTORY_S = 20.0
MAX_WAIT_S = 30.0


class _Event(NamedTuple):
    revision: int
    kind: str
    body: bytes
    at: float


class _Stored(NamedTuple):
    revision: int
    created: int
    spec: bytes


class Store:
    """Objects by kind and name, with one revision counter, conditional writes and watches."""

    def __init__(self) -> None:
        self._revision = 100
        self._objects: dict[tuple[str, str], _Stored] = {}
        self._events: list[_Event] = []
        self._changed = asyncio.Event()
        self.calls = 0

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    def write(self, kind: str, name: str, spec: bytes) -> int:
        """Write an object; return its revision."""
        known = self._objects.get((kind, name))
        if known is not None and known.spec == spec:
            return known.revision
        self._revision += 1
        created = known.created if known is not None else self._revision
        self._objects[kind, name] = _Stored(self._revision, created, spec)
        self._record(kind, name, self._objects[kind, name], deleted=False)
        return self._revision

    def write_json(self, kind: str, name: str, spec: object) -> int:
        """Write an object as JSON; return its revision."""
        return self.write(kind, name, json.dumps(spec).encode())

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects.pop((kind, name))
        self._revision += 1
        self._record(kind, name, stored._replace(revision=self._revision), deleted=True)

    def _record(self, kind: str, name: str, stored: _Stored, *, deleted: bool) -> None:
        flag = b"true" if deleted else b"false"
        body = b'{"Deleted":' + flag + b',"Object":' + _encode(name, stored) + b"}"
        now = time.monotonic()
        self._events.append(_Event(self._revision, kind, body, now))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def serve(self, address: str, port: int) -> asyncio.Server:
        """Listen for calls."""
        return await serve_http(address, port, self._handle)

    async def _handle(self, request: Request) -> Response:
        self.calls += 1
        parts = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.removeprefix("/api/objects/").split("/")]
        if request.method == "GET" and len(path) == 1 and "Watch" in query:
            return await self._watch(path[0], int(query["Watch"]), query)
        if request.method == "GET" and len(path) == 1:
            return self._list(path[0], query.get("after", ""))
        if request.method == "GET":
            stored = self._objects.get((path[0], path[1]))
            if stored is None:
                return Response(404, b'{"Error":"none"}')
            return Response(200, _encode(path[1], stored))
        return self._write(request, path, query)

    def _list(self, kind: str, after: str) -> Response:
        names = sorted(name for found, name in self._objects if found == kind and name > after)
        items: list[bytes] = []
        for name in names[:PAGE_SIZE]:
            item = _encode(name, self._objects[kind, name])
            if items and sum(map(len, items)) + len(item) > PAGE_BYTES:
                break
            items.append(item)
        more = b"true" if len(names) > len(items) else b"false"
        end = f',"StoreRevision":{self._revision}}}'.encode()
        return Response(200, b'{"items":[' + b",".join(items) + b'],"HasMore":' + more + end)

    async def _watch(self, kind: str, since: int, query: dict[str, str]) -> Response:
        until = time.monotonic() + min(MAX_WAIT_S, int(query.get("WaitMs", "0")) / 1000)
        while True:
            horizon = time.monotonic() - HISTORY_S
            if since > self._revision or any(
                event.revision > since and event.at < horizon for event in self._events
            ):
                return Response(410, b'{"Error":"gone"}')
            found = [e.body for e in self._events if e.kind == kind and e.revision > since]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                end = f'],"StoreRevision":{self._revision}}}'.encode()
                return Response(200, b'{"events":[' + b",".join(found) + end)
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _write(self, request: Request, path: list[str], query: dict[str, str]) -> Response:
        document = json.loads(request.body) if request.body else {}
        metadata = document.get("Metadata") or {}
        name = path[1] if len(path) > 1 else str(metadata["Name"])
        known = self._objects.get((path[0], name))
        if request.method == "POST" and known is not None:
            return Response(409, _encode(name, known))
        if request.method != "POST" and known is None:
            return Response(404, b'{"Error":"none"}')
        expected = metadata.get("Revision") or query.get("Revision")
        if known is not None and expected and int(expected) != known.revision:
            return Response(409, _encode(name, known))
        if request.method == "DELETE":
            self.remove(path[0], name)
            return Response(200, b"{}")
        self.write_json(path[0], name, document.get("Spec"))
        return Response(200, _encode(name, self._objects[path[0], name]))


def _encode(name: str, stored: _Stored) -> bytes:
    metadata = {
        "Name": name,
        "Revision": stored.revision,
        "Created": stored.created,
        "Finalizers": [],
        "Deleting": False,
    }
    head = b'{"Metadata":' + json.dumps(metadata).encode()
    return head + b',"Spec":' + stored.spec + b',"Status":null}'
