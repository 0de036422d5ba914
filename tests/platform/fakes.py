"""Fakes of the users' platform on loopback: its store, and servers of a service."""

import asyncio
import base64
import itertools
import json
import os
import socket
import struct
import types
from urllib.parse import parse_qs, urlsplit

from attrs import evolve, frozen
from tornado.httpclient import HTTPError
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from peridotcove.platform.settings import (
    KILL_MARGIN_MS,
    FixedSecret,
    PlatformNodeSettings,
    StoreSettings,
)
from peridotcove.platform.translation import REGION
from peridotcove.settings import Address, Limits

HOST = "127.0.0.1"
PAGE_ITEMS = 3
POLL_INTERVAL_S = 0.01
KEY = "key-of-a-customer"
HOST_NAME = "desk.example"

_numbers = itertools.count(1)


def allocate_loopback_address():
    """Return a loopback address that no other test uses."""
    number = os.getpid()
    return f"127.{64 + number % 64}.{number // 64 % 250}.{next(_numbers) % 250 + 1}"


class _Handler(RequestHandler):
    def initialize(self, store):
        self.store = store

    async def prepare(self):
        self.store.calls += 1
        if self.store.epoch:
            self.set_header("Store-Era", self.store.epoch)
        if self.store.silent:
            await asyncio.sleep(3600)
        if self.store.status:
            self.set_status(self.store.status)
            await self.finish()


class _Range(_Handler):
    def get(self):
        after = self.get_argument("after", "")
        items = self.store.item_by_key
        prefix = self.get_argument("prefix")
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        page = [items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        self.write(
            {"items": page, "more_pages": more, "store_revision": self.store.revision}
        )
        self.store.between_pages()


class _Watch(_Handler):
    async def get(self):
        after, wait_ms = (int(self.get_argument(n)) for n in ("after", "wait_ms"))
        store, epoch = self.store, self.store.epoch
        if not store.compacted_revision <= after <= store.revision:
            self.set_status(410)
            return
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_ms / 1000
        while True:
            if store.epoch != epoch:
                self.request.connection.stream.close()
                return
            events = [event for event in self.store.history if event["rev"] > after]
            if events or loop.time() >= end:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        self.write({"events": events, "store_revision": self.store.revision})


class StoreStandin:
    """Fake store; tests put and drop keys and make it fail.

    Attributes
    ----------
    status : int
        HTTP status of every answer; 0 for normal answers.
    silent : bool
        Whether requests are never answered.
    compacted_revision : int
        Watches from an earlier revision get status 410.
    epoch : int
        Number of times that the store came back from a copy, plus 1; 0 for a store
        without the header.
    calls : int
        Number of received calls.
    between_pages : callable
        Called after each page of a range.
    """

    def __init__(self):
        self.revision = 1
        self.item_by_key = {}
        self.history = []
        self.status = self.compacted_revision = self.calls = 0
        self.epoch = 1
        self.address = ""
        self.silent = False
        self.between_pages = lambda: None
        self._server = None

    def start(self):
        """Listen; `address` is known after that."""
        arguments = {"store": self}
        routes = [(r"/kv-range", _Range, arguments), (r"/kv-watch", _Watch, arguments)]
        self._server = HTTPServer(Application(routes, log_function=lambda _: None))
        sockets = bind_sockets(0, HOST)
        self._server.add_sockets(sockets)
        self.address = f"{HOST}:{sockets[0].getsockname()[1]}"

    async def close(self):
        """Close the server and its connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def put(self, key, value):
        """Write a value: bytes, or any JSON value."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        old = self.item_by_key.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "rev": self.revision,
            "create_revision": old["create_revision"] if old else self.revision,
            "lease": 0,
        }
        self.item_by_key[key] = item
        self.history.append(item)

    def copy(self):
        """Return a copy of the content, for `restore`."""
        return self.revision, dict(self.item_by_key), list(self.history)

    def restore(self, copy):
        """Come back from a copy: what was written since is lost."""
        self.revision, self.item_by_key, self.history = copy
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.epoch += 1

    def drop(self, key):
        """Remove a key, if the store has it."""
        if key not in self.item_by_key:
            return
        self.revision += 1
        del self.item_by_key[key]
        self.history.append({"key": key, "rev": self.revision, "tombstone": True})


class MemoryHttp:
    """Answers the calls of a `StoreClient` from a `StoreStandin` without network."""

    def __init__(self, store):
        self.store = store
        self.is_down = False

    async def fetch(self, url, **kwargs):
        """Return the answer of the store to a call."""
        if self.is_down:
            raise HTTPError(503)
        parts = urlsplit(url)
        query = {name: value[0] for name, value in parse_qs(parts.query).items()}
        store = self.store
        if parts.path == "/kv-range":
            items = [store.item_by_key[key] for key in sorted(store.item_by_key)]
            page = {"items": items, "more_pages": False}
        else:
            after = int(query["after"])
            if not store.compacted_revision <= after <= store.revision:
                raise HTTPError(410)
            page = {"events": [one for one in store.history if one["rev"] > after]}
        page["store_revision"] = store.revision
        headers = {"Store-Era": str(store.epoch)}
        return types.SimpleNamespace(body=json.dumps(page).encode(), headers=headers)


@frozen
class ReceivedRequest:
    """A request that a server received."""

    method: str
    target: str
    headers: dict
    body: bytes


class ServerStandin:
    """Fake server of a service on raw sockets, so that answers may be malformed.

    Attributes
    ----------
    seen : list of ReceivedRequest
        Completely received requests.
    disconnects : int
        Number of connections that callers closed before the end of the answer.
    answer : callable
        Called with the `ReceivedRequest` and the writer; writes the answer.
    answer_health : callable
        The same for health checks.
    """

    def __init__(self, name, answer=None):
        self.answer_health = self._answer_health
        self.name = name
        self.seen = []
        self.disconnects = 0
        self.answer = answer or echo_body
        self._server = None

    async def start(self):
        """Listen; `address` is known after that."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def close(self):
        """Stop listening."""
        self._server.close()

    def make_entry(self, service, **changes):
        """Return the entry that the server writes to the store."""
        return {
            "service": service,
            "addr": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        } | changes

    async def _answer_health(self, seen, writer):
        status = 200 if seen.headers.get("X-Expect-Instance") == self.name else 421
        lines = f"HTTP/1.1 {status} x\r\nX-Instance-Id: {self.name}\r\n"
        writer.write(f"{lines}Content-Length: 0\r\n\r\n".encode())

    async def _serve(self, reader, writer):
        try:
            header = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            line, *fields = header.strip().split("\r\n")
            headers = dict(field.split(": ", 1) for field in fields if ": " in field)
            body = await reader.readexactly(int(headers.get("Content-Length", 0)))
            method, target, _ = line.split(" ")
            seen = ReceivedRequest(method, target, headers, body)
            if method == "GET" and target == "/health":
                await self.answer_health(seen, writer)
                await writer.drain()
                return
            self.seen.append(seen)
            answering = asyncio.ensure_future(self.answer(seen, writer))
            ending = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait(
                [answering, ending], return_when=asyncio.FIRST_COMPLETED
            )
            if answering not in done:
                self.disconnects += 1
                answering.cancel()
            ending.cancel()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.disconnects += 1
        finally:
            writer.close()


async def echo_body(seen, writer):
    """Answer with the body of the request and a signature."""
    writer.write(make_head(seen, 200, len(seen.body)) + seen.body)
    await writer.drain()


def make_head(seen, status, length=None, **fields):
    """Return the header of a signed answer."""
    lines = [
        f"HTTP/1.1 {status} x",
        f"X-Request-Id: {seen.headers['X-Request-Id']}",
        "X-Server-Stamp: stamp",
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def make_event(number, mark=""):
    """Return a server-sent event with a number as its id, and a mark in its data."""
    return b"id: %d\ndata: token-%d%s\n\n" % (number, number, mark.encode())


def make_chunk(data):
    """Return data encoded as a chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def reset(seen, writer):
    """Reset the connection without an answer."""
    writer.transport.abort()


async def refuse(seen, writer):
    """Answer that the request was not run."""
    writer.write(make_head(seen, 503, 0, X_Not_Run="1"))


async def fail(seen, writer):
    """Answer with an internal error of the server."""
    writer.write(make_head(seen, 500, 4) + b"oops")


def make_unframed_answer(count, torn=b"", content_type="text/event-stream", mark=""):
    """Return an answer that streams events and ends with its connection."""

    async def answer(seen, writer):
        begin = int(seen.headers.get("Last-Event-Id", 0)) + 1
        numbers = range(begin, count + 1)
        events = b"".join(make_event(number, mark) for number in numbers)
        fields = {"Content_Type": content_type} if content_type else {}
        writer.write(make_head(seen, 200, **fields))
        writer.write(events + torn)
        await writer.drain()

    return answer


def reset_connection(writer):
    """Close a connection with a reset instead of an orderly end."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    writer.transport.abort()


async def echo_unframed_body(seen, writer):
    """Answer with the body of the request, which ends with the connection."""
    writer.write(make_head(seen, 200) + seen.body)
    await writer.drain()


def make_doubled_answer(body, copied_bytes=None, content_type="text/event-stream"):
    """Return an unframed answer with the first bytes of its copy, or all of them."""

    async def answer(seen, writer):
        fields = {"Content_Type": content_type} if content_type else {}
        sent = make_head(seen, 200, **fields) + body
        writer.write(sent)
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(sent[:copied_bytes])
        await writer.drain()

    return answer


def make_crashing_answer(answer, servers):
    """Return an answer after which its server listens no more."""

    async def crash(seen, writer):
        await answer(seen, writer)
        for server in servers:
            if seen in server.seen:
                await server.close()

    return crash


def make_stream_answer(count, first=1, cut=False, pause_s=0.0, torn=b"", mark=""):
    """Return an answer that streams events with ids after the requested one."""

    async def answer(seen, writer):
        begin = int(seen.headers.get("Last-Event-Id", first - 1)) + 1
        fields = {"Transfer_Encoding": "chunked", "Content_Type": "text/event-stream"}
        writer.write(make_head(seen, 200, **fields))
        for number in range(begin, count + 1):
            writer.write(make_chunk(make_event(number, mark)))
            await writer.drain()
            await asyncio.sleep(pause_s)
        if torn:
            writer.write(make_chunk(torn))
        if not cut:
            writer.write(make_chunk(b""))
        await writer.drain()

    return answer


def make_route(name, kind, service="llm", **changes):
    """Return a route of the operator's document."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "goal_ms": 500,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
        "sticky": kind == "stream",
        "resumable": False,
        "gap_aim_ms": 250,
    } | changes


def make_document(*routes, **changes):
    """Return the operator's document."""
    return {
        "version": 7,
        "routes": list(routes),
        "services": [{"name": "llm", "health_path": "/health"}],
        "tenants": [{"name": "bakery", "api_keys": [KEY], "priority": 1}],
        "limits": {},
    } | changes


def make_settings(store, host, seeds=(), **changes):
    """Return the settings of a node."""
    settings = PlatformNodeSettings(
        node=f"{host}:7100",
        zone="z1",
        region=REGION,
        callers=Address(host, 7101),
        nodes=Address(host, 7100),
        operators=Address(host, 7102),
        secret=FixedSecret(),
        platform=StoreSettings(store.address, {"z1": "r", "z2": "r"}, 2.0, 0.2, 50),
        limits=Limits(drain_ms=8_000 - KILL_MARGIN_MS),
        label="front-1",
        file="",
        seeds=tuple(seeds),
        metrics=Address(host, 7103),
    )
    return evolve(settings, **changes)
