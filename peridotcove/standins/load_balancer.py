"""A stand-in for the platform's balancer and for HTTP clients of the nodes."""

import asyncio
import json

import tornado.httpclient
import tornado.simple_httpclient
from attrs import field, frozen

POLL_S = 0.5
PROBE_TIMEOUT_S = 1.0
READY_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 60.0
MAX_CONNECTIONS = 4_096


@frozen
class Node:
    """A node as the balancer knows it.

    Attributes
    ----------
    name : str
        Name.
    callers_url, operators_url : str
        Base URLs of its two ports.
    """

    name: str
    callers_url: str
    operators_url: str


@frozen
class Reply:
    """What came back for one request.

    Attributes
    ----------
    node : str
        Node that was asked.
    status : int
        HTTP status; 0 without an answer.
    headers : HTTPHeaders or dict
        Header fields.
    body : bytes
        The body, as far as it came.
    whole : bool
        Whether the answer ended as HTTP wants it.
    sent : bool
        Whether a connection was made, so that the request may have arrived.
    first_ms : float
        Time in ms to the first byte of the body; 0 without one.
    """

    node: str
    status: int = 0
    headers: dict = field(factory=dict)
    body: bytes = b""
    whole: bool = False
    sent: bool = True
    first_ms: float = 0.0

    @property
    def verdict(self):
        """Verdict in the header; empty without one."""
        return self.headers.get("Peridotcove-Verdict", "")

    def read_json(self):
        """Return the JSON value of the body, or None."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


class Balancer:
    """Sends requests round robin to the nodes that say they are ready.

    Parameters
    ----------
    nodes : list of Node
        All nodes.
    """

    def __init__(self, nodes):
        self.nodes = nodes
        self.ready = []
        self.http = make_client()
        self._turn = 0
        self._task = None

    async def start(self):
        """Wait until every node is ready, then go on watching.

        Raises
        ------
        TimeoutError
            If a node is not ready in time.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_TIMEOUT_S
        while len(self.ready) < len(self.nodes):
            if loop.time() > end:
                missing = {x.name for x in self.nodes} - {x.name for x in self.ready}
                raise TimeoutError(f"not ready: {', '.join(sorted(missing))}")
            await asyncio.sleep(POLL_S)
            await self._probe_all()
        self._task = asyncio.ensure_future(self._watch())

    def close(self):
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()
        self.http.close()

    def pick(self):
        """Return the next node."""
        nodes = self.ready or self.nodes
        self._turn += 1
        return nodes[self._turn % len(nodes)]

    async def send(self, method, path, headers, value=None):
        """Send a request to the next node and return the `Reply`.

        Parameters
        ----------
        method, path : str
            HTTP method and path.
        headers : dict
            Header fields.
        value : object or None
            JSON value of the body.
        """
        node = self.pick()
        body = None if value is None else json.dumps(value)
        loop = asyncio.get_running_loop()
        chunks, times, start = [], [], loop.time()

        def take(chunk):
            times.append(loop.time())
            chunks.append(chunk)

        request = tornado.httpclient.HTTPRequest(
            node.callers_url + path,
            method=method,
            headers={"Content-Type": "application/json", **headers},
            body=body,
            streaming_callback=take,
            request_timeout=REQUEST_TIMEOUT_S,
        )
        reply, whole, sent = None, True, True
        try:
            reply = await self.http.fetch(request, raise_error=False)
        except tornado.httpclient.HTTPError:
            whole = False
        except OSError:
            whole, sent = False, False
        first_ms = (times[0] - start) * 1000 if times else 0.0
        status = reply.code if reply else 0
        found = reply.headers if reply else {}
        body = b"".join(chunks)
        return Reply(node.name, status, found, body, whole, sent, first_ms)

    async def get(self, url):
        """Return the body of a URL, or None if it can't be had.

        Parameters
        ----------
        url : str
            Any URL.
        """
        try:
            reply = await self.http.fetch(url, request_timeout=PROBE_TIMEOUT_S)
        except (tornado.httpclient.HTTPError, OSError):
            return None
        return reply.body

    async def _watch(self):
        while True:
            await asyncio.sleep(POLL_S)
            await self._probe_all()

    async def _probe_all(self):
        urls = [f"{node.operators_url}/ready" for node in self.nodes]
        found = await asyncio.gather(*map(self.get, urls))
        pairs = zip(self.nodes, found, strict=True)
        self.ready = [node for node, body in pairs if body is not None]


def make_client():
    """Return an HTTP client that runs many requests at once."""
    return tornado.simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True, max_clients=MAX_CONNECTIONS
    )
