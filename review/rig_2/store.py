"""Stand-in for the platform's metadata store: reads, pages and watches over HTTP."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from rig_2.http_messages import read_message, write_response

MAX_WAIT_MS = 30_000


class Store:
    """The store, on a loopback address.

    Parameters
    ----------
    host : str
        Loopback address.

    Attributes
    ----------
    revision : int
        Revision of the last change.
    cut_watch_s : float or None
        Time after which a watch that waits is cut; None if none is.
    cut_count : int
        Watches that were cut.
    on_answer : callable
        Called with the path of each call that was answered.
    """

    def __init__(self, host):
        self.host = host
        self.revision = 100
        self.cut_watch_s = None
        self.cut_count = 0
        self.on_answer = lambda path: None
        self._item_by_key = {}
        self._events = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Start to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)

    @property
    def address(self):
        """Address as ``HOST:PORT``."""
        return f"{self.host}:{self._server.sockets[0].getsockname()[1]}"

    def close(self):
        """Stop to listen."""
        self._server.close()

    def put(self, key, value):
        """Write an item; the return is the acknowledgement.

        Parameters
        ----------
        key : str
            Its key.
        value : object
            Its value, which is stored as JSON; bytes are stored as they are.
        """
        self.revision += 1
        old = self._item_by_key.get(key)
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "rev": self.revision,
            "create_revision": old["create_revision"] if old else self.revision,
            "lease": 0,
        }
        self._item_by_key[key] = item
        self._add_event(item)

    def delete(self, key):
        """Remove an item; the return is the acknowledgement.

        Parameters
        ----------
        key : str
            Its key.
        """
        self.revision += 1
        del self._item_by_key[key]
        self._add_event({"key": key, "rev": self.revision, "tombstone": True})

    def _add_event(self, event):
        self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                url = urlsplit(request.target)
                query = {
                    name: values[0]
                    for name, values in parse_qs(url.query, True).items()
                }
                answer = await self._answer(url.path, query)
                if answer is None:
                    break
                status, page = answer
                headers = {"Content-Type": "application/json"}
                body = json.dumps(page).encode()
                writer.write(write_response(status, headers, body))
                await writer.drain()
                self.on_answer(url.path)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-range":
            items = [
                self._item_by_key[key]
                for key in sorted(self._item_by_key)
                if key.startswith(query.get("prefix", ""))
                and key > query.get("after", "")
            ]
            page = {"items": items, "more_pages": False}
            return 200, page | {"store_revision": self.revision}
        item = self._item_by_key.get(query.get("key", ""))
        if path == "/kv-key" and item is not None:
            return 200, item | {"store_revision": self.revision}
        return 404, {"store_revision": self.revision}

    async def _watch(self, query):
        """Return the answer to a watch, or None if it is cut."""
        after = int(query["after"])
        wait_s = min(int(query.get("wait_ms", "0")), MAX_WAIT_MS) / 1000
        cut_s = self.cut_watch_s
        is_cut = cut_s is not None and cut_s < wait_s
        changed = self._changed
        events = self._find_events(after, query)
        if not events and wait_s:
            try:
                async with asyncio.timeout(cut_s if is_cut else wait_s):
                    await changed.wait()
            except TimeoutError:
                if is_cut:
                    self.cut_count += 1
                    return None
            events = self._find_events(after, query)
        return 200, {"events": events, "store_revision": self.revision}

    def _find_events(self, after, query):
        prefix = query.get("prefix", "")
        return [
            event
            for event in self._events
            if event["rev"] > after and event["key"].startswith(prefix)
        ]
