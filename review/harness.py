"""Small fleet on loopback for the scripts of the review: platform, servers, clients.

Only the standard library is used. The nodes are the project's own program, started with
the command of the deploy file as separate processes. The store, the servers, the
clients and the platform are stand-ins in the process of the script.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[1]
COMMAND = ("python3.11", "-S", "-m", "peridotcove", "node")
HOST = "127.0.0.1"
HOST_NAME = "desk.example"
ZONES = ("olt-a", "olt-b", "olt-c")
BEAT_MS = 1_200
BEAT_S = BEAT_MS / 1_000
DRAIN_MS = 2_000
APPLY_MS = 2_000
GRACE_S = 8
LOSS_SLACK_MS = 200
RAM_MB = 300
READY_TIMEOUT_S = 25
PAGE_ITEMS = 500
MAX_WAIT_MS = 30_000
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """
node = "{label}"
role = "router"
class = "front"
serves = ["front","control"]
ip = "{host}"
zone = "{zone}"
region = "ro-olt"
port_range = [{first},{last}]
seeds = [{seeds}]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
beat_ms = {beat_ms}
contracts = [{contracts}]
[zones]
olt-a = "ro-olt"
olt-b = "ro-olt"
olt-c = "ro-olt"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu_share = 0.537
cores = 2
ram_mb = {ram_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_s = 2
stable_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = {drain_ms}
grace_s = {grace_s}
loss_slack_ms = {loss_slack_ms}
apply_ms = {apply_ms}
downgrade_ms = 250
stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 54
recover_s = 12
pass_ms = 120
retry_after_s = 10
cap_x = 2
[provider]
addr = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


CONTRACTS = "base drain config cost retry recover engine stream tenants platform"


class Record:
    """Writes what was sent, answered and run to a file.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case.
    """

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._start_s = time.monotonic()

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._start_s

    def write(self, text):
        """Write one line with its time."""
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()


@contextlib.asynccontextmanager
async def closing(writer):
    """Close a connection in the end; the peer may have closed it before."""
    try:
        yield
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def read_request(reader):
    """Return method, target, headers and body of a request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.strip().split("\r\n")
    headers = {}
    for one in fields:
        name, _, value = one.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    method, target, _ = line.split(" ")
    return method, target, headers, body


def make_head(status, length=None, **fields):
    """Return the header of a response."""
    lines = [f"HTTP/1.1 {status} x"]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Store:
    """The platform's store: ranges, watches, and writes of operator and servers."""

    def __init__(self):
        self.revision = 500
        self._items = {}
        self._history = []
        self._changed = asyncio.Event()
        self._server = None
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def put(self, key, value):
        """Write a value: bytes, or any JSON value."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        old = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "rev": self.revision,
            "create_revision": old["create_revision"] if old else self.revision,
            "lease": 0,
        }
        self._items[key] = item
        self._publish(item)

    def drop(self, key):
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "rev": self.revision, "tombstone": True})

    def _publish(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        async with closing(writer):
            while True:
                _, target, _, _ = await read_request(reader)
                status, page = await self._answer(target)
                body = json.dumps(page).encode()
                kind = {"Content_Type": "application/json"}
                writer.write(make_head(status, len(body), **kind) + body)
                await writer.drain()

    async def _answer(self, target):
        parts = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        if parts.path == "/kv-range":
            return 200, self._make_page(query)
        if parts.path == "/kv-watch":
            return 200, await self._watch(query)
        item = self._items.get(query.get("key", ""))
        if parts.path == "/kv-key" and item is not None:
            return 200, item | {"store_revision": self.revision}
        return 404, {"error": "no such key"}

    def _make_page(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return {
            "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
            "more_pages": len(keys) > PAGE_ITEMS,
            "store_revision": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        wait_ms = min(MAX_WAIT_MS, int(query.get("wait_ms", 0)))
        end = time.monotonic() + wait_ms / 1_000
        while True:
            events = [
                event
                for event in self._history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Server:
    """A server of a service, which registers itself and renews its entry.

    Parameters
    ----------
    name, service : str
        Its id, and the name of its service.
    store : Store
        Store in which it registers.
    answer : callable
        Coroutine function that is called with this server, the headers and body of a
        request and the connection's writer; it writes the answer.
    slots : int
        Requests that it runs at once; further ones wait.
    """

    def __init__(self, name, service, store, answer, slots=6):
        self.name = name
        self.service = service
        self.state = "ready"
        self.slots = slots
        self.runs = []
        self.address = ""
        self._store = store
        self._answer = answer
        self._seq = 0
        self._born_ms = int(time.time() * 1_000)
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self._beats = None

    async def start(self):
        """Listen and register."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(BEAT_S)

    def register(self):
        """Write the entry."""
        self._seq += 1
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": ZONES[0],
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self._born_ms,
        }
        self._store.put(f"servers/{self.name}", entry)

    async def _serve(self, reader, writer):
        async with closing(writer):
            method, target, headers, body = await read_request(reader)
            if method == "GET" and target == "/report":
                report = {"stage": "hybrid", "models": [], "busy": False, "seq": 0}
                data = json.dumps(report | {"queued": 0, "running": 0}).encode()
                writer.write(make_head(200, len(data), X_Instance_Id=self.name) + data)
            elif "x-request-id" not in headers:
                writer.write(make_head(400, 0, X_Not_Run="1"))
            elif headers.get("x-expect-instance", self.name) != self.name:
                writer.write(make_head(421, 0, X_Not_Run="1"))
            else:
                async with self._free:
                    run = (
                        headers["x-request-id"],
                        time.monotonic(),
                        f"{method} {target}",
                    )
                    self.runs.append(run)
                    await self._answer(self, headers, body, writer)
            await writer.drain()


async def answer_at_once(server, headers, body, writer):
    """Write a complete signed answer."""
    data = f"done {headers['x-request-id']}".encode()
    writer.write(make_signed_head(server, headers, 200, len(data)) + data)


def make_signed_head(server, headers, status, length=None, **fields):
    """Return the header of an answer with request id and signature."""
    known = {"X_Request_Id": headers["x-request-id"]}
    known["X_Server_Stamp"] = f"stamp.{server.name}.{headers['x-request-id']}"
    return make_head(status, length, **known, **fields)


class NodeProcess:
    """A node, started with the command of the deploy file.

    Parameters
    ----------
    label, zone, host : str
        Name, zone and loopback address.
    store : Store
        The platform's store.
    folder : pathlib.Path
        Folder for settings and log.
    """

    def __init__(self, label, zone, host, store, folder):
        self.label = label
        self.zone = zone
        self.host = host
        self.front, self.ready, self.control, self.first = _find_ports(host)
        self._store = store
        self._settings = folder / f"{label}.toml"
        self._log = folder / f"{label}.log"
        self.process = None

    async def start(self, seeds):
        """Start the process with the control addresses of its seeds."""
        text = SETTINGS.format(
            label=self.label,
            host=self.host,
            zone=self.zone,
            seeds=",".join(f'"{seed}"' for seed in seeds),
            first=self.first,
            last=self.first,
            front=self.front,
            ready=self.ready,
            control=self.control,
            store=self._store.address,
            beat_ms=BEAT_MS,
            drain_ms=DRAIN_MS,
            grace_s=GRACE_S,
            loss_slack_ms=LOSS_SLACK_MS,
            apply_ms=APPLY_MS,
            ram_mb=RAM_MB,
            contracts=",".join(f'"{name}"' for name in CONTRACTS.split()),
        )
        self._settings.write_text(text)
        with self._log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PERIDOTCOVE_NODE_FILE": str(self._settings),
                },
            )

    @property
    def is_running(self):
        """Whether the process exists."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Send a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)

    def read_memory_mb(self):
        """Return the resident memory of the process in MB; 0 if it has ended."""
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1_024
        return 0

    async def is_ready(self):
        """Return whether the node answers its readiness check with 200."""
        try:
            answer = await asyncio.wait_for(
                fetch(self.host, self.ready, "GET", "/ready", {"Host": "x"}), 1
            )
        except (TimeoutError, OSError):
            return False
        return answer.status == 200

    async def stop(self):
        """Kill the process if it runs, and wait for its end."""
        if self.is_running:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


_numbers = itertools.count(1)


def make_host():
    """Return a loopback address for one node."""
    pid = os.getpid()
    return f"127.{100 + pid % 100}.{pid // 100 % 250}.{next(_numbers) % 250 + 1}"


def _find_ports(host):
    sockets = [socket.socket() for _ in range(4)]
    for one in sockets:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Response:
    """What a client received; status 0 if there was no complete header.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict
        Header fields by name in lower case.
    body : bytes
        Received part of the body.
    complete : bool
        Whether the body has its whole length or its last chunk.
    """

    def __init__(self, status=0, headers=None, body=b"", complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete

    def __str__(self):
        """Return a line for the record."""
        signed = self.headers.get("x-server-stamp", "none")
        whole = "whole" if self.complete else "incomplete"
        size = len(self.body)
        return f"status {self.status}, signature {signed}, body {whole}, {size} bytes"


async def fetch(host, port, method, target, headers, body=b"", read=None):
    """Send a request on a new connection and return the `Response`."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return await (read or read_response)(reader)
    finally:
        writer.close()


async def read_response(reader):
    """Return the next `Response` of a connection."""
    response = Response()
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *fields = head.strip().split("\r\n")
        for one in fields:
            name, _, value = one.partition(":")
            response.headers[name.strip().lower()] = value.strip()
        response.status = int(line.split(" ")[1])
        length = response.headers.get("content-length")
        if length is None:
            await _read_chunks(reader, response)
        else:
            await _read_length(reader, response, int(length))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        pass
    return response


async def _read_length(reader, response, length):
    while len(response.body) < length:
        data = await reader.read(min(65_536, length - len(response.body)))
        if not data:
            return
        response.body += data
    response.complete = True


async def _read_chunks(reader, response):
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        response.body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            response.complete = True
            return


def make_route(name, kind, service, **changes):
    """Return a route of the operator's configuration."""
    route = {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3_000,
        "goal_ms": 250,
        "priority": 2,
        "service": service,
        "attempts": 2 if kind == "idempotent" else 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return route | changes


def make_document(version, routes, services, tenants):
    """Return the operator's configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 110}
            for name in services
        ],
        "tenants": [
            {"name": name, "api_keys": keys, "priority": 1}
            for name, keys in tenants.items()
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    }


class Fleet:
    """Nodes, store and servers of one script.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case.
    """

    def __init__(self, folder):
        self.record = Record(folder)
        self.store = Store()
        self.nodes = []
        self.servers = []
        self._ids = itertools.count(1)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)

    async def start_store(self):
        """Start the store."""
        await self.store.start()

    async def add_server(self, name, service, answer=answer_at_once, slots=6):
        """Start a server, register it and return it."""
        server = Server(name, service, self.store, answer, slots)
        await server.start()
        self.servers.append(server)
        return server

    async def start_nodes(self, count):
        """Start nodes in turn over the zones, and wait until all are ready."""
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            label = f"front-{zone}-{number // len(ZONES) + 1}"
            node = NodeProcess(label, zone, make_host(), self.store, self.folder)
            self.nodes.append(node)
        await asyncio.gather(*[node.start(self.seeds) for node in self.nodes])
        end = time.monotonic() + READY_TIMEOUT_S
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > end or not node.is_running:
                    raise CannotRun(f"{node.label} isn't ready")
                await asyncio.sleep(0.1)
        self.record.write(f"{count} nodes are ready")

    @property
    def seeds(self):
        """Control addresses of at most three nodes."""
        return [f"{node.host}:{node.control}" for node in self.nodes[:3]]

    def publish(self, document, what):
        """Write the operator's configuration; the write is the acknowledgement."""
        self.store.put("op/config", document)
        self.record.write(f"config version {document['version']} acknowledged: {what}")

    async def request(self, node, target, key, method="GET", body=b"", **options):
        """Send a request to a node, record it and return its id and `Response`."""
        deadline_ms = options.pop("deadline_ms", 2_000)
        request_id = f"{os.getpid():08x}{next(self._ids):08x}"
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "Api-Key": key,
        } | options.pop("headers", {})
        self.record.write(f"{request_id} {method} {target} sent to {node.label}")
        call = fetch(node.host, node.front, method, target, headers, body, **options)
        try:
            response = await asyncio.wait_for(call, deadline_ms / 1_000 + 3)
        except (TimeoutError, OSError) as error:
            self.record.write(f"{request_id} no answer: {error!r}")
            return request_id, Response()
        self.record.write(f"{request_id} answered: {response}")
        return request_id, response

    async def close(self):
        """End all processes that the script started."""
        await asyncio.gather(*[node.stop() for node in self.nodes])
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        # Connections that were closed above end in the next round of the loop.
        await asyncio.sleep(0.1)
        self._temporary.cleanup()


class CannotRun(Exception):
    """The case can't run here."""


def reset(writer):
    """Close a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def run_case(folder, play):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    Parameters
    ----------
    folder : str
        File of the case.
    play : callable
        Coroutine function; gets the `Fleet` and whether to make the disruption, and
        returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def run():
        fleet = Fleet(pathlib.Path(folder).resolve().parent)
        fleet.record.write("with the disruption" if trouble else "no disruption")
        try:
            await fleet.start_store()
            held = await play(fleet, trouble)
            fleet.record.write("the rule held" if held else "the rule was broken")
            return HELD if held else BROKEN
        except Exception as error:
            fleet.record.write(f"the case can't run: {error!r}")
            return NOT_RUN
        finally:
            await fleet.close()

    sys.exit(asyncio.run(run()))
