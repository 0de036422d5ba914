"""What callers and servers saw, checked as they see it."""

from collections import Counter

from attrs import define, field, frozen

from peridotcove.clock import Clock

CLOCK = Clock()
# Bounds in ms of the users' pages, for the settings that the soak gives.
MAX_IN_FORCE_DELAY_MS = 2_000
MAX_OLD_VERSION_MS = 250
MAX_DRAIN_DELAY_MS = 2_000
SETTLING_MS = 3_000
STORE_EXTRA_SETTLING_MS = 5_000
RETRY_BUDGET_WINDOW_MS = 10_000
# Customer whose key all clients give.
CUSTOMER = "bakery"
# Statuses that say that a request has not run and never will.
NOT_RUN_STATUSES = {408, 421, 429, 503}


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
    answer_status: int | None = None


@define
class _Disruption:
    node: str
    planned: bool
    end_ms: float = float("inf")


@define
class Promises:
    """Takes in what happens and keeps what broke a promise.

    Attributes
    ----------
    violations : list of Violation
        What was not kept, in order.
    counts : collections.Counter
        What callers got, by kind and status.
    """

    retry_ratio: float
    retry_extra: int
    violations: list = field(factory=list)
    counts: Counter = field(factory=Counter)
    _request_by_id: dict = field(factory=dict)
    _disruptions: list = field(factory=list)
    _newest_version_by_process: dict = field(factory=dict)
    _published_ms_by_version: dict = field(factory=dict)
    _leaving_ms_by_server: dict = field(factory=dict)
    _retry_times_ms: list = field(factory=list)
    _request_times_ms: list = field(factory=list)

    def begin_trouble(self, node, planned=False):
        """Take in that a node, or the store (an empty name), is harmed from now on.

        Parameters
        ----------
        node : str
            Name of the node.
        planned : bool
            Whether it is only asked to end.
        """
        trouble = _Disruption(node, planned)
        self._disruptions.append(trouble)
        return trouble

    def end_trouble(self, trouble):
        """Take in that a trouble is over."""
        trouble.end_ms = CLOCK.now()

    def is_undisturbed(self, node, since_ms, planned=True):
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
        for one in self._disruptions:
            if one.planned and not planned:
                continue
            settle_ms = (
                SETTLING_MS if one.node else SETTLING_MS + STORE_EXTRA_SETTLING_MS
            )
            if one.node in ("", node) and one.end_ms + settle_ms >= since_ms:
                return False
        return True

    def publish(self, version):
        """Take in that the store holds a version now."""
        self._published_ms_by_version[version] = CLOCK.now()

    def record_server_leaving(self, server):
        """Take in that the store says that a server leaves."""
        self._leaving_ms_by_server[server] = CLOCK.now()

    def record_request(self, request_id, kind, node):
        """Take in that a client sends a request to a node."""
        now = CLOCK.now()
        self._request_by_id[request_id] = _Request(kind, node, now)
        self._request_times_ms.append(now)

    def record_arrival(self, request_id, server):
        """Take in that a request reaches a server; return whether a client sent it."""
        request = self._request_by_id.get(request_id)
        if request is None:
            self._add_violation(
                "unasked", f"{server} got {request_id}, which nobody sent"
            )
            return False
        now = CLOCK.now()
        request.arrivals += 1
        if request.arrivals > 1:
            self._retry_times_ms.append(now)
            self._check_budget(now)
        leaving_ms = self._leaving_ms_by_server.get(server)
        late = leaving_ms is not None and now > leaving_ms + MAX_DRAIN_DELAY_MS
        if late and self.is_undisturbed(request.node, leaving_ms):
            waited = now - leaving_ms
            text = f"{server} got {request_id} by {request.node} {waited} ms after"
            self._add_violation("drain", f"{text} it was said to leave")
        return True

    def check_forwarded_headers(self, request_id, headers):
        """Check the header fields with which a request reached a server."""
        if headers.get("X-Tenant") != CUSTOMER or "Api-Key" in headers:
            self._add_violation("unasked", f"{request_id} came with {headers}")

    def record_run(self, request_id, server):
        """Take in that a server begins to work on a request."""
        request = self._request_by_id[request_id]
        request.runs += 1
        if request.kind == "booking" and request.runs > 1:
            self._add_violation("twice", f"{request_id} ran again at {server}")
        if request.kind == "booking" and request.answer_status in NOT_RUN_STATUSES:
            self._add_violation(
                "refused", f"{request_id} ran after {request.answer_status}"
            )

    def record_answer(self, request_id, status):
        """Take in the status that a client got; 0 without an answer."""
        request = self._request_by_id[request_id]
        request.answer_status = status
        self.counts[request.kind, status] += 1
        if request.kind == "booking" and request.runs and status in NOT_RUN_STATUSES:
            self._add_violation("refused", f"{request_id} has run and got {status}")
        is_undisturbed = self.is_undisturbed(
            request.node, request.sent_ms, planned=False
        )
        if not status and request.arrivals and is_undisturbed:
            self._add_violation("lost", f"{request_id} at {request.node} got no answer")

    def check_body(self, request_id, expected, body):
        """Check that a success holds the whole answer of a server."""
        if body != expected:
            self._add_violation("whole", f"{request_id} got {body[:80]!r}")

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
        seen, seen_ms = self._newest_version_by_process.get(key, (0, 0))
        if known:
            if version > seen:
                self._newest_version_by_process[key] = version, CLOCK.now()
            return
        where = f"{node} (process {incarnation}) denied {request_id} of {version}"
        if version <= seen and sent_ms > seen_ms + MAX_OLD_VERSION_MS:
            self._add_violation("goes-back", f"{where} after {seen} was in force there")
        published_ms = self._published_ms_by_version[version]
        if sent_ms > published_ms + MAX_IN_FORCE_DELAY_MS and self.is_undisturbed(
            node, published_ms
        ):
            self._add_violation("in-force", f"{where}, {sent_ms - published_ms} ms old")

    def check_served(self, node, kind, status):
        """Check that a node serves once all faults are over."""
        if status != 200:
            self._add_violation("recover", f"{node} answered {status} to {kind}")

    def check_exit_code(self, node, code, allowed):
        """Check that a process ended with one of the exit codes that are allowed."""
        if code not in allowed:
            self._add_violation(
                "process", f"{node} ended with {code}, not one of {allowed}"
            )

    def _check_budget(self, now):
        since = now - RETRY_BUDGET_WINDOW_MS
        retry_count = sum(at >= since for at in self._retry_times_ms)
        sent = sum(
            at >= since - RETRY_BUDGET_WINDOW_MS / 2 for at in self._request_times_ms
        )
        if retry_count > self.retry_ratio * sent + self.retry_extra:
            self._add_violation("budget", f"{retry_count} repeats for {sent} requests")

    def _add_violation(self, promise, detail):
        self.violations.append(Violation(promise, detail))
