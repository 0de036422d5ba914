"""What callers and servers saw, checked as they see it."""

from collections import Counter

from attrs import define, field, frozen

from peridotcove.clock import Clock

CLOCK = Clock()
# Bounds in ms of the users' pages, for the settings that the soak gives.
IN_FORCE_MS = 2_000
DOWNGRADE_MS = 250
DRAIN_MS = 2_000
STABLE_MS = 3_000
STRETCH_MS = 5_000
BUDGET_WINDOW_MS = 10_000
# Customer whose key all clients give.
CUSTOMER = "bakery"
# Statuses that say that a request has not run and never will.
NOT_RUN = {408, 421, 429, 503}


@frozen
class Violation:
    """A promise that was not kept.

    Attributes
    ----------
    promise : str
        Short name.
    detail : str
        Who saw what.
    """

    promise: str
    detail: str


@define
class _Request:
    kind: str
    node: str
    sent_ms: int
    runs: int = 0
    arrivals: int = 0
    answered: int | None = None


@define
class _Trouble:
    node: str
    planned: bool
    end_ms: float = float("inf")


@define
class PromiseChecker:
    """Takes in what happens and keeps what broke a promise.

    Attributes
    ----------
    violations : list of Violation
        What was not kept, in order.
    answer_counts : collections.Counter
        What callers got, by kind and status.
    """

    ratio: float
    extra: int
    violations: list = field(factory=list)
    answer_counts: Counter = field(factory=Counter)
    _request_by_id: dict = field(factory=dict)
    _troubles: list = field(factory=list)
    _version_seen: dict = field(factory=dict)
    _published_ms: dict = field(factory=dict)
    _left_ms: dict = field(factory=dict)
    _repeats_ms: list = field(factory=list)
    _sent_ms: list = field(factory=list)

    def begin_disruption(self, node, planned=False):
        """Take in that a node, or the store (an empty name), is harmed from now on.

        Parameters
        ----------
        node : str
            Name of the node.
        planned : bool
            Whether it is only asked to end.
        """
        disruption = _Trouble(node, planned)
        self._troubles.append(disruption)
        return disruption

    def end_disruption(self, disruption):
        """Take in that a trouble is over."""
        disruption.end_ms = CLOCK.now()

    def calm(self, node, since_ms, planned=True):
        """Return whether neither node nor store was harmed lately.

        Parameters
        ----------
        node : str
            Name of the node.
        since_ms : int
            Begin of the time that counts, to which the settling time is added.
        planned : bool
            Whether a planned end counts as harm.
        """
        for one in self._troubles:
            if one.planned and not planned:
                continue
            settle_ms = STABLE_MS if one.node else STABLE_MS + STRETCH_MS
            if one.node in ("", node) and one.end_ms + settle_ms >= since_ms:
                return False
        return True

    def record_publication(self, version):
        """Take in that the store holds a version now."""
        self._published_ms[version] = CLOCK.now()

    def leave(self, server):
        """Take in that the store says that a server leaves."""
        self._left_ms[server] = CLOCK.now()

    def send(self, request_id, kind, node):
        """Take in that a client sends a request to a node."""
        now = CLOCK.now()
        self._request_by_id[request_id] = _Request(kind, node, now)
        self._sent_ms.append(now)

    def arrive(self, request_id, server):
        """Take in that a request reaches a server; return whether a client sent it."""
        request = self._request_by_id.get(request_id)
        if request is None:
            self._break("unasked", f"{server} got {request_id}, which nobody sent")
            return False
        now = CLOCK.now()
        request.arrivals += 1
        if request.arrivals > 1:
            self._repeats_ms.append(now)
            self._check_budget(now)
        left_ms = self._left_ms.get(server)
        late = left_ms is not None and now > left_ms + DRAIN_MS
        if late and self.calm(request.node, left_ms):
            waited = now - left_ms
            text = f"{server} got {request_id} by {request.node} {waited} ms after"
            self._break("drain", f"{text} it was said to leave")
        return True

    def check_passed_on(self, request_id, headers):
        """Check the header fields with which a request reached a server."""
        if headers.get("X-Tenant") != CUSTOMER or "Api-Key" in headers:
            self._break("unasked", f"{request_id} came with {headers}")

    def run(self, request_id, server):
        """Take in that a server begins to work on a request."""
        request = self._request_by_id[request_id]
        request.runs += 1
        if request.kind == "booking" and request.runs > 1:
            self._break("twice", f"{request_id} ran again at {server}")
        if request.kind == "booking" and request.answered in NOT_RUN:
            self._break("refused", f"{request_id} ran after {request.answered}")

    def answer(self, request_id, status):
        """Take in the status that a client got; 0 without an answer."""
        request = self._request_by_id[request_id]
        request.answered = status
        self.answer_counts[request.kind, status] += 1
        if request.kind == "booking" and request.runs and status in NOT_RUN:
            self._break("refused", f"{request_id} has run and got {status}")
        calm = self.calm(request.node, request.sent_ms, planned=False)
        if not status and request.arrivals and calm:
            self._break("lost", f"{request_id} at {request.node} got no answer")

    def check_answer(self, request_id, expected, body):
        """Check that a success holds the whole answer of a server."""
        if body != expected:
            self._break("whole", f"{request_id} got {body[:80]!r}")

    def check_version(self, request_id, node, incarnation, version, known):
        """Check what a node knows of a version.

        Parameters
        ----------
        request_id : str
            The request that tried it.
        node : str
            Name of the node.
        incarnation : int
            Number of its process when the request was sent.
        version : int
            The version.
        known : bool
            Whether the node handled the request as the version says.
        """
        sent_ms = self._request_by_id[request_id].sent_ms
        key = node, incarnation
        seen, seen_ms = self._version_seen.get(key, (0, 0))
        if known:
            if version > seen:
                self._version_seen[key] = version, CLOCK.now()
            return
        where = f"{node} (process {incarnation}) denied {request_id} of {version}"
        if version <= seen and sent_ms > seen_ms + DOWNGRADE_MS:
            self._break("goes-back", f"{where} after {seen} was in force there")
        published_ms = self._published_ms[version]
        if sent_ms > published_ms + IN_FORCE_MS and self.calm(node, published_ms):
            self._break("in-force", f"{where}, {sent_ms - published_ms} ms old")

    def check_served(self, node, kind, status):
        """Check that a node serves once all faults are over."""
        if status != 200:
            self._break("recover", f"{node} answered {status} to {kind}")

    def check_end(self, node, code, allowed):
        """Check that a process ended with one of the exit codes that are allowed."""
        if code not in allowed:
            self._break("process", f"{node} ended with {code}, not one of {allowed}")

    def _check_budget(self, now):
        since = now - BUDGET_WINDOW_MS
        repeats = sum(at >= since for at in self._repeats_ms)
        sent = sum(at >= since - BUDGET_WINDOW_MS / 2 for at in self._sent_ms)
        if repeats > self.ratio * sent + self.extra:
            self._break("budget", f"{repeats} repeats for {sent} requests")

    def _break(self, promise, detail):
        self.violations.append(Violation(promise, detail))
