"""A stand-in for the platform's object store (PROTOCOL.md, "The platform's metadata store")."""

import asyncio
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from standins.http import BadMessage, read_head, read_body, response

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


def encode(value):
    return json.dumps(value, separators=(",", ":"))


class Link:
    """A link of limited bandwidth, shared by all connections over it."""

    CHUNK_BYTES = 4096

    def __init__(self, *, mbps):
        self._bytes_per_s = mbps * 1e6 / 8
        self._free_at = 0.0

    async def send(self, writer, data):
        for begin in range(0, len(data), self.CHUNK_BYTES):
            chunk = data[begin : begin + self.CHUNK_BYTES]
            now = time.monotonic()
            self._free_at = max(now, self._free_at) + len(chunk) / self._bytes_per_s
            await asyncio.sleep(self._free_at - now)
            writer.write(chunk)
            await writer.drain()


class Store:
    """Keeps objects by kind and name; each change raises one revision counter."""

    def __init__(self, *, address, port, history_s=20.0):
        self.address, self.port = address, port
        self.revision = 100
        self.objects = {}
        self.events = []
        self.calls = []
        self._history_s = history_s
        self._changed = asyncio.Event()
        self._server = None
        # Returns the link of a connection; None for one without a limit.
        self.link_of = lambda writer: None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.address, self.port)

    def stop(self):
        self._server.close()

    # What the operator and the workers write; the return is the confirmation.

    def put(self, kind, name, spec):
        kept = self.objects.setdefault(kind, {})
        old = kept.get(name)
        if old is not None and old["Spec"] == spec:
            return time.monotonic()
        self.revision += 1
        created = old["Metadata"]["Created"] if old else self.revision
        kept[name] = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "Created": created,
                "Finalizers": old["Metadata"]["Finalizers"] if old else [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": old["Status"] if old else None,
        }
        self._record(kind, kept[name], deleted=False)
        return time.monotonic()

    def delete(self, kind, name):
        gone = self.objects.get(kind, {}).pop(name, None)
        if gone is not None:
            self.revision += 1
            gone = json.loads(json.dumps(gone))
            gone["Metadata"]["Revision"] = self.revision
            self._record(kind, gone, deleted=True)
        return time.monotonic()

    def _record(self, kind, stored, *, deleted):
        event = (self.revision, time.monotonic(), kind, encode(stored), deleted)
        self.events.append(event)
        while self.events and self.events[0][1] < time.monotonic() - self._history_s:
            self._oldest = self.events.pop(0)[0]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    _oldest = 100

    async def _serve(self, reader, writer):
        link = self.link_of(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                status, answer = await self._answer(head, body)
                data = response(status, [("Content-Type", "application/json")], answer.encode())
                if link is not None:
                    await link.send(writer, data)
                else:
                    writer.write(data)
                    await writer.drain()
        except (BadMessage, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, head, body):
        parts = urlsplit(head.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split("/")[1:]]
        if path[:2] != ["api", "objects"] or len(path) not in (3, 4, 5):
            return 404, "{}"
        kind, name = path[2], path[3] if len(path) > 3 else None
        self.calls.append((time.monotonic(), head.method, kind, name, query))
        if head.method == "GET":
            if name is not None:
                found = self.objects.get(kind, {}).get(name)
                return (200, encode(found)) if found else (404, "{}")
            if "Watch" in query:
                return await self._watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)))
            return 200, self._list(kind, query.get("after", ""))
        return self._write(head.method, kind, name, path[4:] == ["status"], query, body)

    def _list(self, kind, after):
        items, size = [], 0
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        for name in names:
            text = encode(self.objects[kind][name])
            if items and (len(items) >= PAGE_ITEMS or size + len(text) > PAGE_BYTES):
                break
            items.append(text)
            size += len(text)
        more = "true" if len(items) < len(names) else "false"
        return f'{{"items":[{",".join(items)}],"HasMore":{more},"StoreRevision":{self.revision}}}'

    async def _watch(self, kind, since, wait_ms):
        until = time.monotonic() + min(wait_ms, 30_000) / 1000
        while True:
            if since < self._oldest:
                return 410, "{}"
            found = [event for event in self.events if event[0] > since and event[2] == kind]
            if found or time.monotonic() >= until:
                events = ",".join(
                    f'{{"Deleted":{"true" if gone else "false"},"Object":{text}}}'
                    for _, _, _, text, gone in found
                )
                return 200, f'{{"events":[{events}],"StoreRevision":{self.revision}}}'
            try:
                await asyncio.wait_for(self._changed.wait(), max(0.0, until - time.monotonic()))
            except asyncio.TimeoutError:
                pass

    def _write(self, method, kind, name, is_status, query, body):
        given = json.loads(body) if body else {}
        metadata = given.get("Metadata") or {}
        kept = self.objects.setdefault(kind, {})
        name = name if name is not None else metadata.get("Name")
        old = kept.get(name)
        if method == "POST":
            if old is not None:
                return 409, encode(old)
            self.put(kind, name, given.get("Spec"))
            return 200, encode(kept[name])
        if old is None:
            return 404, "{}"
        wanted = metadata.get("Revision", query.get("Revision"))
        if wanted is not None and int(wanted) != old["Metadata"]["Revision"]:
            return 409, encode(old)
        if method == "DELETE":
            self.delete(kind, name)
            return 200, "{}"
        if is_status:
            if old["Status"] != given.get("Status"):
                self.revision += 1
                old["Status"] = given.get("Status")
                old["Metadata"]["Revision"] = self.revision
                self._record(kind, old, deleted=False)
        else:
            self.put(kind, name, given.get("Spec"))
        return 200, encode(kept[name])
