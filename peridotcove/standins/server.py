"""Common base of the stand-ins: HTTP server on loopback, fault modes, long polls."""

import asyncio
import json
import signal
import socket

import tornado.httpserver
import tornado.netutil
import tornado.web

HOST = "127.0.0.1"
MAX_BODY_BYTES = 64 << 20


class StandinServer:
    """HTTP server of a stand-in; subclasses define the routes.

    Attributes
    ----------
    port : int
        Port that it listens on; 0 before `start`.
    faults : FaultSelector
        Selects the fault mode of each request.
    held_connections : list
        Connections that stay open without a response.
    """

    def __init__(self):
        self.port = 0
        self.faults = FaultSelector()
        self.held_connections = []
        self._server = None

    def routes(self):
        """Return pairs of a path pattern and a handler class."""
        raise NotImplementedError

    def start(self, port=0):
        """Listen on loopback.

        Parameters
        ----------
        port : int
            Port; 0 lets the operating system choose.
        """
        routes = [(path, handler, {"standin": self}) for path, handler in self.routes()]
        application = tornado.web.Application(routes, log_function=_discard_log)
        self._server = tornado.httpserver.HTTPServer(
            application, max_body_size=MAX_BODY_BYTES, max_buffer_size=MAX_BODY_BYTES
        )
        sockets = tornado.netutil.bind_sockets(port, HOST, socket.AF_INET)
        self._server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    @property
    def url(self):
        """Base URL of the stand-in."""
        return f"http://{HOST}:{self.port}"

    async def close(self):
        """Stop listening and close every connection."""
        self._server.stop()
        for stream in self.held_connections:
            stream.close()
        await self._server.close_all_connections()


class FaultSelector:
    """Selects the fault mode of the next requests.

    Attributes
    ----------
    mode : str
        Name of the fault mode; ``"ok"`` for none.
    left : int or None
        Number of further requests with this mode; None for all.
    """

    def __init__(self):
        self.mode = "ok"
        self.left = None

    def set(self, mode, count=None):
        """Set the fault mode.

        Parameters
        ----------
        mode : str
            Name of the fault mode.
        count : int or None
            Number of requests with this mode; None for all.
        """
        self.mode = mode
        self.left = count

    def next_mode(self):
        """Return the fault mode of a request that arrives now."""
        if self.left is None:
            return self.mode
        if self.left <= 0:
            return "ok"
        self.left -= 1
        return self.mode


class Handler(tornado.web.RequestHandler):
    """Base of the handlers of stand-ins."""

    def initialize(self, standin):
        """Store the stand-in.

        Parameters
        ----------
        standin : StandinServer
            Stand-in that the request was sent to.
        """
        self.standin = standin

    def write_json(self, value, status=200):
        """Respond with a JSON value.

        Parameters
        ----------
        value : object
            The value.
        status : int
            HTTP status.
        """
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(value))

    def read_json(self):
        """Return the JSON object of the body; empty for other bodies.

        Raises
        ------
        tornado.web.HTTPError
            If the body is not JSON (400).
        """
        try:
            value = json.loads(self.request.body or b"{}")
        except ValueError:
            raise tornado.web.HTTPError(400) from None
        return value if isinstance(value, dict) else {}

    def get_number(self, name, default=0):
        """Return an integer query parameter.

        Parameters
        ----------
        name : str
            Name of the parameter.
        default : int
            Value when it is missing.
        """
        return int(self.get_query_argument(name, str(default)))

    @property
    def connection(self):
        """Stream of the connection; the same object for all its requests."""
        return self.request.connection.stream

    def break_connection(self, raw=b""):
        """Close the connection before the response is complete.

        Parameters
        ----------
        raw : bytes
            Bytes to send first.
        """
        stream = self.detach()
        if raw:
            stream.write(raw)
        stream.close()

    def hold_connection(self):
        """Keep the connection open and never respond."""
        self.standin.held_connections.append(self.detach())


class FaultModeHandler(Handler):
    """Sets the fault mode: ``{"mode": NAME, "count": N}``."""

    def put(self):
        """Set the fault mode."""
        body = self.read_json()
        if body.get("mode") not in self.standin.MODES:
            self.write_json({"modes": list(self.standin.MODES)}, 400)
            return
        self.standin.faults.set(body["mode"], body.get("count"))
        self.write_json({"mode": self.standin.faults.mode})


class ChangeNotifier:
    """Lets long polls wait for the next change."""

    def __init__(self):
        self._event = asyncio.Event()

    def notify(self):
        """Wake all waiters."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait_for_change(self):
        """Wait for the next change, without a timeout."""
        await self._event.wait()

    async def wait_with_timeout(self, ms):
        """Wait for the next change, or until a timeout.

        Parameters
        ----------
        ms : float
            Timeout in ms.
        """
        event = self._event
        try:
            await asyncio.wait_for(event.wait(), ms / 1000)
        except TimeoutError:
            return

    async def wait_until(self, condition, ms):
        """Wait until a condition holds and return whether it does.

        Parameters
        ----------
        condition : callable
            Function without parameters that returns whether the condition holds.
        ms : float
            Timeout in ms.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + ms / 1000
        while not condition():
            remaining_s = end - loop.time()
            if remaining_s <= 0:
                return False
            await self.wait_with_timeout(remaining_s * 1000)
        return True


async def serve_until_stopped(standin, port):
    """Run a stand-in until the process gets SIGTERM or SIGINT.

    Parameters
    ----------
    standin : StandinServer
        The stand-in.
    port : int
        Port; 0 lets the operating system choose. The port is printed.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    standin.start(port)
    print(f"listening on {standin.port}", flush=True)
    await stopped.wait()
    await standin.close()


def _discard_log(handler):
    pass
