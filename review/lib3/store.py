"""Stand-in for the platform's store, by PROTOCOL.md: objects, lists, watches, and the drill in which
it comes back from an older copy (letter 4)."""

import asyncio
import copy
import functools
import json
import time
from urllib.parse import parse_qsl, unquote

from http_io import answer_bytes, read_message

ANSWER_S = 0.004  # The store usually takes 4 ms for an answer.


class Store:
    def __init__(self, log):
        self.log = log  # Called with a text for each line of the record.
        self.objects = {}
        self.history = []  # (revision, kind, event)
        self.revision = 100
        self.oldest = 100
        self.era = 1
        self.away = False
        self.copies = []  # (time, objects, revision)
        self.changed = asyncio.Event()
        self.connections = set()
        self.servers = []
        self.waiting = {}  # Writers of connections on which a watch of that kind waits.
        self.on_watched = None  # Called with the kind and the events that a watch got.

    async def start(self, view=None):
        """Opens an address; `view` changes what is answered there, as a machine may have its own
        links to workers."""
        server = await asyncio.start_server(functools.partial(self.serve, view), "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    # What the operator and the workers do.

    def put(self, kind, name, spec):
        known = self.objects.setdefault(kind, {})
        if name in known and known[name]["spec"] == spec:
            return
        self.revision += 1
        created = known[name]["metadata"]["created_rev"] if name in known else self.revision
        known[name] = {"metadata": {"name": name, "rev": self.revision, "created_rev": created,
                                    "finalizers": [], "deleting": False},
                       "spec": spec, "status": {}}
        self.note(kind, known[name], False)

    def beat(self, kind, name, seq):
        """A heartbeat: only `seq` changes, which is no change of the entry."""
        if name in self.objects.get(kind, {}):
            self.objects[kind][name]["spec"]["seq"] = seq

    def remove(self, kind, name):
        removed = self.objects.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            self.note(kind, removed, True)

    def note(self, kind, entry, deleted):
        event = {"object": copy.deepcopy(entry), "deleted": deleted}
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def keep_copy(self):
        self.copies.append((time.monotonic(), copy.deepcopy(self.objects), self.revision))

    async def restore(self, away_s):
        """The drill: away for a moment, then back from the last copy that was kept."""
        taken, objects, revision = self.copies[-1]
        self.away = True
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.objects, self.revision = copy.deepcopy(objects), revision
        self.history = [entry for entry in self.history if entry[0] <= revision]
        self.era += 1
        self.away = False
        self.log("store back from a copy %.2f s old, era %d" % (time.monotonic() - taken, self.era))

    def cut_watches(self, kind):
        """Cuts off the watches of that kind that are waiting."""
        cut = list(self.waiting.get(kind, ()))
        for writer in cut:
            writer.transport.abort()
        return len(cut)

    # The API.

    async def serve(self, view, reader, writer):
        if self.away:
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await asyncio.sleep(ANSWER_S)
                status, content = await self.call(message, writer)
                if view is not None:
                    content = view(content)
                body = json.dumps(content).encode()
                headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
                writer.write(answer_bytes(status, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def call(self, message, writer):
        method, target = message.words[0], message.words[1]
        path, _, query = target.partition("?")
        parts = [unquote(part) for part in path.split("/")[3:]]
        options = dict(parse_qsl(query))
        kind = self.objects.setdefault(parts[0], {})
        if method == "GET" and len(parts) == 2:
            return (200, kind[parts[1]]) if parts[1] in kind else (404, {})
        if method == "GET" and "watch" in options:
            return await self.watch(parts[0], int(options["watch"]), int(options["wait_ms"]), writer)
        if method == "GET":
            after = options.get("after", "")
            items = [kind[name] for name in sorted(kind) if name > after]
            return 200, {"items": items, "has_more": False, "store_revision": self.revision}
        if method == "DELETE":
            if parts[1] not in kind:
                return 404, {}
            self.remove(parts[0], parts[1])
            return 200, {}
        sent = json.loads(message.body)
        name, wanted = sent["metadata"]["name"], sent["metadata"].get("rev")
        if method == "POST" and name in kind:
            return 409, kind[name]
        if method == "PUT" and name not in kind:
            return 404, {}
        if method == "PUT" and wanted is not None and wanted != kind[name]["metadata"]["rev"]:
            return 409, kind[name]
        self.put(parts[0], name, sent["spec"])
        return 200, kind[name]

    async def watch(self, kind, revision, wait_ms, writer):
        end = time.monotonic() + wait_ms / 1000
        era = self.era
        while True:
            if revision < self.oldest or revision > self.revision:
                return 410, {}
            events = [e for r, k, e in self.history if k == kind and r > revision]
            left = end - time.monotonic()
            if events or left <= 0 or era != self.era:
                if events and self.on_watched:
                    self.on_watched(kind, events)
                return 200, {"events": events, "store_revision": self.revision}
            changed = self.changed
            waiting = self.waiting.setdefault(kind, set())
            waiting.add(writer)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            finally:
                waiting.discard(writer)
            if writer.transport.is_closing():
                raise ConnectionError
