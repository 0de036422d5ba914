"""A stand-in for a plain service that counts how often each call ran."""

import asyncio
import collections
import weakref

from peridotcove.standins.server import ControlHandler, Handler, Standin

GARBAGE = b"\x00\xff<<not an answer>>\x80" * 8
SLOW_S = 1.0
HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + b'{"refer'
SECOND_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class ServiceStandin(Standin):
    """A plain service.

    Parameters
    ----------
    checks_keys : bool
        Whether it refuses a second call with the same ``Idempotency-Key``.

    Attributes
    ----------
    runs_by_reference, runs_by_key : Counter
        Runs by the body's ``reference`` and by ``Idempotency-Key``.
    requests : int
        Calls received.
    """

    MODES = (
        "ok",
        "garbage",
        "half",
        "two-answers",
        "nothing",
        "silent",
        "error500",
        "slow",
        "run-then-close",
        "run-then-close-reused",
    )

    def __init__(self, checks_keys=False):
        super().__init__()
        self.checks_keys = checks_keys
        self.runs_by_reference = collections.Counter()
        self.runs_by_key = collections.Counter()
        self.requests = 0
        self.connections = weakref.WeakSet()

    def routes(self):
        """Return pairs of a path pattern and a handler class."""
        return [
            (r"/stats", ServiceStatsHandler),
            (r"/control", ControlHandler),
            (r"/.*", CallHandler),
        ]

    def run(self, reference, key):
        """Run a call and return how often it has run.

        Parameters
        ----------
        reference : str or None
            What the call names itself.
        key : str or None
            Its ``Idempotency-Key``.
        """
        if key:
            self.runs_by_key[key] += 1
        if reference is None:
            return self.runs_by_key[key] if key else 1
        self.runs_by_reference[reference] += 1
        return self.runs_by_reference[reference]


class CallHandler(Handler):
    """Runs any call."""

    async def prepare(self):
        """Meet the fault that is set, or run the call."""
        standin = self.standin
        standin.requests += 1
        reused = self.connection in standin.connections
        standin.connections.add(self.connection)
        mode = standin.faults.take()
        if mode == "slow":
            await asyncio.sleep(SLOW_S)
        if mode == "nothing":
            self.break_connection()
        elif mode == "silent":
            self.hold_connection()
        elif mode == "error500":
            self.write_json({"error": "internal"}, 500)
            self.finish()
        else:
            self.run_call(mode, reused)

    def run_call(self, mode, reused):
        """Run the call and answer as the mode says.

        Parameters
        ----------
        mode : str
            The fault.
        reused : bool
            Whether the connection has carried a call before.
        """
        standin = self.standin
        key = self.request.headers.get("Idempotency-Key")
        if standin.checks_keys and key and standin.runs_by_key[key]:
            self.write_json({"error": "this key was used"}, 409)
            self.finish()
            return
        reference = self.read_reference()
        runs = standin.run(reference, key)
        closes = mode == "run-then-close-reused" and reused
        if mode == "run-then-close" or closes:
            self.break_connection()
        elif mode == "half":
            self.break_connection(HALF)
        elif mode == "garbage":
            self.break_connection(GARBAGE)
        else:
            self.answer(reference, runs, twice=mode == "two-answers")

    def answer(self, reference, runs, twice):
        """Answer the call.

        Parameters
        ----------
        reference : str or None
            What the call names itself.
        runs : int
            How often it has run.
        twice : bool
            Whether a second answer follows on the connection.
        """
        connection = self.connection
        self.write_json({"reference": reference, "runs": runs})
        self.finish()
        if twice and not connection.closed():
            connection.write(SECOND_ANSWER)

    def read_reference(self):
        """Return the body's reference, or None."""
        if not self.request.body:
            return None
        value = self.read_json().get("reference")
        return None if value is None else str(value)


class ServiceStatsHandler(Handler):
    """Answers with the counts of runs."""

    def get(self):
        """Answer with the counts."""
        standin = self.standin
        runs = standin.runs_by_reference
        self.write_json(
            {
                "requests": standin.requests,
                "runs": dict(runs),
                "keys": dict(standin.runs_by_key),
                "highest_runs": max(runs.values(), default=0),
                "run_twice": sum(count > 1 for count in runs.values()),
            }
        )
