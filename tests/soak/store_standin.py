"""Stand-in for the platform's store: objects by kind and name, in lists, watches and calls."""

import asyncio
import json
import time
from urllib.parse import parse_qsl, unquote

from http_messages import answer, read_message

HISTORY = 400  # Number of changes that the store keeps for watches.
MAX_ITEMS = 500  # Objects in one part of a list.


def seen_by(content, gateway):
    """Returns the content with the addresses at which that gateway reaches the workers."""
    if isinstance(content, dict):
        return {key: value[gateway] if key == "addr" and isinstance(value, list) and value
                else seen_by(value, gateway) for key, value in content.items()}
    if isinstance(content, list):
        return [seen_by(item, gateway) for item in content]
    return content


def to_text(content):
    """Returns JSON, in which objects with a `text` stand for that text."""
    texts = []

    def keep(raw):
        texts.append(raw.text)
        return "raw text %d" % (len(texts) - 1)

    whole = json.dumps(content, default=keep)
    for number, text in enumerate(texts):
        whole = whole.replace('"raw text %d"' % number, text)
    return whole


class Store:
    """Objects by kind and name, with revisions and watches."""

    def __init__(self, rng):
        self.rng = rng
        self.objects = {}
        self.history = []
        self.revision = 10
        self.oldest = 10
        self.changed = asyncio.Condition()
        self.fault = None  # None, "busy" (answers 503) or "lost" (drops answers).
        self.refused = set()  # Gateways that it turns away.
        self.max_items = MAX_ITEMS
        self.accepts_escapes = True  # Whether it reads targets with percent-encoded characters.

    async def put(self, kind, name, spec):
        self.revision += 1
        kept = self.objects.setdefault(kind, {})
        kept[name] = {"metadata": {"name": name, "rev": self.revision}, "spec": spec}
        await self.notify_watchers(kind, kept[name], False)

    async def delete(self, kind, name):
        removed = self.objects.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            await self.notify_watchers(kind, removed, True)

    async def notify_watchers(self, kind, entry, deleted):
        self.history.append((self.revision, kind, {"object": entry, "deleted": deleted}))
        if len(self.history) > HISTORY:
            self.oldest = self.history.pop(0)[0]
        async with self.changed:
            self.changed.notify_all()

    def discard_history(self):
        self.history.clear()
        self.oldest = self.revision

    async def serve(self, gateway, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                words, _, body = message
                if len(words) == 3 and (self.accepts_escapes or "%" not in words[1]):
                    status, content = await self.call(words[0], words[1], body, gateway)
                else:
                    status, content = 400, {}
                content = seen_by(content, gateway)
                if self.fault == "lost" and self.rng.random() < 0.5:
                    break
                writer.write(answer(status, {}, to_text(content).encode("latin-1")))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        writer.close()

    async def call(self, method, target, body, gateway):
        if self.fault == "busy" or gateway in self.refused:
            return 503, {}
        path, _, query = target.partition("?")
        parts = [unquote(part) for part in path.split("/")[3:]]
        options = dict(parse_qsl(query))
        kind = self.objects.setdefault(parts[0], {})
        if method == "GET" and len(parts) == 2:
            return (200, kind[parts[1]]) if parts[1] in kind else (404, {})
        if method == "GET" and "watch" in options:
            return await self.watch(parts[0], int(options["watch"]), int(options["wait_ms"]),
                                    gateway)
        if method == "GET":
            return 200, self.list(kind, options.get("after", ""))
        if method == "DELETE":
            await self.delete(parts[0], parts[1])
            return 200, {}
        sent = json.loads(body)
        name = sent["metadata"]["name"]
        if method == "POST" and name in kind:
            return 409, kind[name]
        if method == "PUT":
            if name not in kind:
                return 404, {}
            wanted = sent["metadata"].get("rev")
            if wanted is not None and wanted != kind[name]["metadata"]["rev"]:
                return 409, kind[name]
        await self.put(parts[0], name, sent["spec"])
        return 200, kind[name]

    def list(self, kind, after):
        """Returns the part of the list, in the order of names, that begins after the name."""
        names = sorted(name for name in kind if name > after)
        return {"items": [kind[name] for name in names[:self.max_items]],
                "has_more": len(names) > self.max_items, "store_revision": self.revision}

    async def watch(self, kind, revision, wait_ms, gateway):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if gateway in self.refused:
                return 503, {}
            if revision < self.oldest:
                return 410, {}
            events = [e for r, k, e in self.history if k == kind and r > revision]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
