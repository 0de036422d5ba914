"""What all stand-ins share: a server on loopback, fault modes, long polls."""

import asyncio
import json
import signal
import socket

import tornado.httpserver
import tornado.netutil
import tornado.web

HOST = "127.0.0.1"
MAX_BODY_BYTES = 64 << 20


class Standin:
    """A stand-in's server; subclasses give the routes.

    Attributes
    ----------
    port : int
        Port that it listens on; 0 before `start`.
    faults : Faults
        How it misbehaves at the moment.
    held : list
        Connections that stay open without an answer.
    """

    def __init__(self):
        self.port = 0
        self.faults = Faults()
        self.held = []
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
        application = tornado.web.Application(routes, log_function=_log_nothing)
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
        for stream in self.held:
            stream.close()
        await self._server.close_all_connections()


class Faults:
    """Which fault the next requests meet.

    Attributes
    ----------
    mode : str
        Name of the fault; ``"ok"`` for none.
    left : int or None
        Requests that still meet it; None for all.
    """

    def __init__(self):
        self.mode = "ok"
        self.left = None

    def set(self, mode, count=None):
        """Choose the fault.

        Parameters
        ----------
        mode : str
            Name of the fault.
        count : int or None
            Requests that meet it; None for all.
        """
        self.mode = mode
        self.left = count

    def take(self):
        """Return the fault of a request that arrives now."""
        if self.left is None:
            return self.mode
        if self.left <= 0:
            return "ok"
        self.left -= 1
        return self.mode


class Handler(tornado.web.RequestHandler):
    """Base of the handlers of stand-ins."""

    def initialize(self, standin):
        """Keep the stand-in.

        Parameters
        ----------
        standin : Standin
            Whose server it is.
        """
        self.standin = standin

    def write_json(self, value, status=200):
        """Answer with a JSON value.

        Parameters
        ----------
        value : object
            What to answer.
        status : int
            HTTP status.
        """
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(value))

    def read_json(self):
        """Return the JSON object of the body; empty when there is none."""
        try:
            value = json.loads(self.request.body or b"{}")
        except ValueError:
            raise tornado.web.HTTPError(400) from None
        return value if isinstance(value, dict) else {}

    def get_number(self, name, default=0):
        """Return a whole number from the query.

        Parameters
        ----------
        name : str
            Name in the query.
        default : int
            Value when it is missing.
        """
        return int(self.get_query_argument(name, str(default)))

    @property
    def connection(self):
        """Stream of the connection; the same object for all its requests."""
        return self.request.connection.stream

    def break_connection(self, raw=b""):
        """Close the connection without ending the answer.

        Parameters
        ----------
        raw : bytes
            What to send before.
        """
        stream = self.detach()
        if raw:
            stream.write(raw)
        stream.close()

    def hold_connection(self):
        """Keep the connection open and never answer."""
        self.standin.held.append(self.detach())


class ControlHandler(Handler):
    """Sets the fault mode: ``{"mode": NAME, "count": N}``."""

    def put(self):
        """Set the fault mode."""
        body = self.read_json()
        if body.get("mode") not in self.standin.MODES:
            self.write_json({"modes": list(self.standin.MODES)}, 400)
            return
        self.standin.faults.set(body["mode"], body.get("count"))
        self.write_json({"mode": self.standin.faults.mode})


class Changes:
    """Lets long polls wait for the next change."""

    def __init__(self):
        self._event = asyncio.Event()

    def notify(self):
        """Wake everyone who waits."""
        self._event.set()
        self._event = asyncio.Event()

    async def next(self):
        """Wait for a change, however long it takes."""
        await self._event.wait()

    async def wait(self, ms):
        """Wait for a change.

        Parameters
        ----------
        ms : float
            Longest wait in ms.
        """
        event = self._event
        try:
            await asyncio.wait_for(event.wait(), ms / 1000)
        except TimeoutError:
            return

    async def poll(self, ready, ms):
        """Wait until a condition holds and return whether it does.

        Parameters
        ----------
        ready : callable
            Returns a true value when there is something to answer.
        ms : float
            Longest wait in ms.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + ms / 1000
        while not ready():
            left = end - loop.time()
            if left <= 0:
                return False
            await self.wait(left * 1000)
        return True


async def serve_until_stopped(standin, port):
    """Run a stand-in until the process is told to end.

    Parameters
    ----------
    standin : Standin
        What to run.
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


def _log_nothing(handler):
    pass
