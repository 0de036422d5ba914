"""A stand-in for a plain service that counts how often each call ran."""

import asyncio
import collections
import weakref

from peridotcove.standins.server import FaultModeHandler, Handler, StandinServer

GARBAGE = b"\x00\xff<<not an answer>>\x80" * 8
SLOW_S = 1.0
TRUNCATED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + b'{"refer'
SECOND_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class ServiceStandin(StandinServer):
    """Emulates a plain service.

    Parameters
    ----------
    checks_keys : bool
        Whether it refuses a second call with the same ``Idempotency-Key``.

    Attributes
    ----------
    runs_by_reference, runs_by_key : Counter
        Number of runs by the body's ``reference`` and by ``Idempotency-Key``.
    requests : int
        Number of calls received.
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
        self.seen_connections = weakref.WeakSet()

    def routes(self):
        """Return pairs of a path pattern and a handler class."""
        return [
            (r"/stats", ServiceStatsHandler),
            (r"/control", FaultModeHandler),
            (r"/.*", CallHandler),
        ]

    def record_run(self, reference, key):
        """Record a run of a call and return the number of its runs.

        Parameters
        ----------
        reference : str or None
            Reference in the body of the call.
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
    """Runs calls on any path."""

    async def prepare(self):
        """Apply the fault mode, or run the call."""
        standin = self.standin
        standin.requests += 1
        reused = self.connection in standin.seen_connections
        standin.seen_connections.add(self.connection)
        mode = standin.faults.next_mode()
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
        """Run the call and respond according to the mode.

        Parameters
        ----------
        mode : str
            Fault mode.
        reused : bool
            Whether the connection was used by an earlier call.
        """
        standin = self.standin
        key = self.request.headers.get("Idempotency-Key")
        if standin.checks_keys and key and standin.runs_by_key[key]:
            self.write_json({"error": "this key was used"}, 409)
            self.finish()
            return
        reference = self.read_reference()
        runs = standin.record_run(reference, key)
        breaks_reused = mode == "run-then-close-reused" and reused
        if mode == "run-then-close" or breaks_reused:
            self.break_connection()
        elif mode == "half":
            self.break_connection(TRUNCATED_RESPONSE)
        elif mode == "garbage":
            self.break_connection(GARBAGE)
        else:
            self.respond(reference, runs, twice=mode == "two-answers")

    def respond(self, reference, runs, twice):
        """Write the response.

        Parameters
        ----------
        reference : str or None
            Reference in the body of the call.
        runs : int
            Number of runs of the call.
        twice : bool
            Whether a second response follows on the connection.
        """
        connection = self.connection
        self.write_json({"reference": reference, "runs": runs})
        self.finish()
        if twice and not connection.closed():
            connection.write(SECOND_RESPONSE)

    def read_reference(self):
        """Return the body's reference, or None."""
        if not self.request.body:
            return None
        value = self.read_json().get("reference")
        return None if value is None else str(value)


class ServiceStatsHandler(Handler):
    """Serves the counts of runs."""

    def get(self):
        """Respond with the counts."""
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
