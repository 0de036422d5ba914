"""A stand-in for the platform's load balancer, used by HTTP clients of the nodes."""

import asyncio
import json

import tornado.httpclient
import tornado.simple_httpclient
from attrs import field, frozen

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0
READY_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 60.0
MAX_CONNECTIONS = 4_096


@frozen
class Node:
    """A node that the load balancer sends to.

    Attributes
    ----------
    name : str
        Name of the node.
    callers_url, operators_url : str
        Base URLs of its ports for callers and for operators.
    """

    name: str
    callers_url: str
    operators_url: str


@frozen
class Response:
    """Result of one request.

    Attributes
    ----------
    node : str
        Name of the node that the request was sent to.
    status : int
        HTTP status; 0 without a response.
    headers : HTTPHeaders or dict
        Header fields.
    body : bytes
        The part of the body that arrived.
    complete : bool
        Whether the HTTP response arrived completely.
    connected : bool
        Whether the connection succeeded, so that the request may have arrived.
    first_byte_ms : float
        Time in ms to the first byte of the body; 0 without a body.
    """

    node: str
    status: int = 0
    headers: dict = field(factory=dict)
    body: bytes = b""
    complete: bool = False
    connected: bool = True
    first_byte_ms: float = 0.0

    @property
    def verdict(self):
        """Verdict of the header; empty without the header."""
        return self.headers.get("Peridotcove-Verdict", "")

    def read_json(self):
        """Return the JSON value of the body, or None if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


class LoadBalancer:
    """Sends requests round robin to the nodes whose readiness probe succeeds.

    Parameters
    ----------
    nodes : list of Node
        All nodes.

    Attributes
    ----------
    ready_nodes : list of Node
        Nodes whose last readiness probe succeeded.
    """

    def __init__(self, nodes):
        self.nodes = nodes
        self.ready_nodes = []
        self.http = make_client()
        self._position = 0
        self._task = None

    async def start(self):
        """Wait until every node is ready, then probe periodically.

        Raises
        ------
        TimeoutError
            If a node is not ready in time.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_TIMEOUT_S
        while len(self.ready_nodes) < len(self.nodes):
            if loop.time() > end:
                missing = {x.name for x in self.nodes} - {
                    x.name for x in self.ready_nodes
                }
                raise TimeoutError(f"nodes not ready: {', '.join(sorted(missing))}")
            await asyncio.sleep(PROBE_INTERVAL_S)
            await self._probe_all()
        self._task = asyncio.ensure_future(self._probe_periodically())

    def close(self):
        """Stop probing and close the client."""
        if self._task is not None:
            self._task.cancel()
        self.http.close()

    def choose_node(self):
        """Return the next ready node, or the next of all nodes when none is ready."""
        nodes = self.ready_nodes or self.nodes
        self._position += 1
        return nodes[self._position % len(nodes)]

    async def send(self, method, path, headers, value=None):
        """Send a request to the next node and return its `Response`.

        Parameters
        ----------
        method, path : str
            HTTP method and path.
        headers : dict
            Header fields.
        value : object or None
            JSON value of the body.
        """
        node = self.choose_node()
        body = None if value is None else json.dumps(value)
        loop = asyncio.get_running_loop()
        chunks, times, start = [], [], loop.time()

        def handle_chunk(chunk):
            times.append(loop.time())
            chunks.append(chunk)

        request = tornado.httpclient.HTTPRequest(
            node.callers_url + path,
            method=method,
            headers={"Content-Type": "application/json", **headers},
            body=body,
            streaming_callback=handle_chunk,
            request_timeout=REQUEST_TIMEOUT_S,
        )
        response, complete, connected = None, True, True
        try:
            response = await self.http.fetch(request, raise_error=False)
        except tornado.httpclient.HTTPError:
            complete = False
        except OSError:
            complete, connected = False, False
        first_byte_ms = (times[0] - start) * 1000 if times else 0.0
        status = response.code if response else 0
        found = response.headers if response else {}
        body = b"".join(chunks)
        return Response(
            node.name, status, found, body, complete, connected, first_byte_ms
        )

    async def fetch_body(self, url):
        """Return the body of a URL, or None if the request fails.

        Parameters
        ----------
        url : str
            URL to fetch.
        """
        try:
            response = await self.http.fetch(url, request_timeout=PROBE_TIMEOUT_S)
        except (tornado.httpclient.HTTPError, OSError):
            return None
        return response.body

    async def _probe_periodically(self):
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            await self._probe_all()

    async def _probe_all(self):
        urls = [f"{node.operators_url}/ready" for node in self.nodes]
        found = await asyncio.gather(*map(self.fetch_body, urls))
        pairs = zip(self.nodes, found, strict=True)
        self.ready_nodes = [node for node, body in pairs if body is not None]


def make_client():
    """Return an HTTP client with up to `MAX_CONNECTIONS` concurrent requests."""
    return tornado.simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True, max_clients=MAX_CONNECTIONS
    )
