"""Checks of the promises by what callers and servers observe."""

from collections import Counter

from attrs import define, field, frozen

from peridotcove.clock import Clock

CLOCK = Clock()
# Bounds that the users' documentation promises for the settings of the soak:
# from the publication of a version until every node applies it,
MAX_IN_FORCE_DELAY_MS = 2_000
# from the first request that a node handles by a version until it handles all by it,
MAX_OLD_VERSION_MS = 250
# from when a server is listed as draining until it gets no more requests,
MAX_DRAIN_DELAY_MS = 2_000
# from when a zone is evacuated until its servers get no more requests,
MAX_EVACUATION_DELAY_MS = 5_000
# from when a node passes on an answer by which a server leaves until no request that is
# sent to the node reaches that server,
MAX_SAID_LEAVING_DELAY_MS = 2_000
# from a refusal with a time, within which the server gets no request from that node but
# for some that are under way, until that holds,
PAUSE_GRACE_MS = 500
MAX_REQUESTS_IN_PAUSE = 2
# from the end of a disruption until the other bounds apply again, with a longer time
# after a disruption of the store.
SETTLING_MS = 3_000
STORE_EXTRA_SETTLING_MS = 5_000
RETRY_BUDGET_WINDOW_MS = 10_000
# Requests per second that a cold server bears, and what may reach it in any second.
COLD_RATE, COLD_EXCESS, COLD_SLACK = 6, 1.5, 5
# Customer whose API key all clients send.
CUSTOMER = "bakery"
# Statuses which state that a request has not run and never will.
NOT_RUN_STATUSES = {408, 421, 429, 503}


@frozen
class Violation:
    """A promise that was broken.

    Attributes
    ----------
    promise : str
        Short name.
    detail : str
        Which node, server or request broke it, and how.
    """

    promise: str
    detail: str


@define
class _Request:
    kind: str
    node: str
    sent_ms: int
    incarnation: int = 0
    runs: int = 0
    arrivals: int = 0
    answer_status: int | None = None

    @property
    def link(self):
        """The process that handles it, which a restart replaces."""
        return self.node, self.incarnation


@define
class _Pause:
    begin_ms: float
    end_ms: float
    arrivals: int = 0


@define
class _Disruption:
    node: str
    planned: bool
    end_ms: float = float("inf")


@define
class PromiseChecker:
    """Records events of a run and collects the promises that they break.

    Parameters
    ----------
    retry_ratio : float
        Retries that the retry budget allows for each request.
    retry_extra : int
        Retries that the retry budget allows in addition, in each window.

    Attributes
    ----------
    violations : list of Violation
        Broken promises, in the order in which they were found.
    answer_counts : collections.Counter
        Number of answers that callers got, by kind of request and status.
    """

    retry_ratio: float
    retry_extra: int
    violations: list = field(factory=list)
    answer_counts: Counter = field(factory=Counter)
    _request_by_id: dict = field(factory=dict)
    _disruptions: list = field(factory=list)
    _newest_version_by_process: dict = field(factory=dict)
    _published_ms_by_version: dict = field(factory=dict)
    _leaving_ms_by_server: dict = field(factory=dict)
    _cold_times_by_server: dict = field(factory=dict)
    _evacuated_ms_by_zone: dict = field(factory=dict)
    _leaving_by_request_id: dict = field(factory=dict)
    _said_leaving_ms_by_link: dict = field(factory=dict)
    _pauses_by_link: dict = field(factory=dict)
    _retry_times_ms: list = field(factory=list)
    _request_times_ms: list = field(factory=list)

    def begin_disruption(self, node, planned=False):
        """Record that a fault affects a node or the store from now on.

        Parameters
        ----------
        node : str
            Name of the node; the empty name stands for the store.
        planned : bool
            Whether the disruption is a planned shutdown (SIGTERM).
        """
        disruption = _Disruption(node, planned)
        self._disruptions.append(disruption)
        return disruption

    def end_disruption(self, disruption):
        """Record that a disruption is over."""
        disruption.end_ms = CLOCK.now()

    def is_stable(self, node, since_ms, planned=True):
        """Return whether neither the node nor the store was disrupted recently.

        Parameters
        ----------
        node : str
            Name of the node.
        since_ms : int
            Disruptions that ended longer than the settling time before this are
            ignored.
        planned : bool
            Whether a planned shutdown counts as a disruption.
        """
        for entry in self._disruptions:
            if entry.planned and not planned:
                continue
            settle_ms = (
                SETTLING_MS if entry.node else SETTLING_MS + STORE_EXTRA_SETTLING_MS
            )
            if entry.node in ("", node) and entry.end_ms + settle_ms >= since_ms:
                return False
        return True

    def record_publication(self, version):
        """Record that the store holds a version from now on."""
        self._published_ms_by_version[version] = CLOCK.now()

    def record_server_leaving(self, server):
        """Record that the store lists a server as draining from now on."""
        self._leaving_ms_by_server[server] = CLOCK.now()

    def record_evacuation(self, zone):
        """Record that the store says from now on that a zone is evacuated."""
        self._evacuated_ms_by_zone[zone] = CLOCK.now()

    def record_evacuation_end(self, zone):
        """Record that a zone is no longer evacuated."""
        self._evacuated_ms_by_zone.pop(zone, None)

    def record_request(self, request_id, kind, node, incarnation=0):
        """Record that a client sends a request to a process of a node."""
        now = CLOCK.now()
        self._request_by_id[request_id] = _Request(kind, node, now, incarnation)
        self._request_times_ms.append(now)

    def record_arrival(self, request_id, server, zone=""):
        """Record that a request reached a server; return whether a client sent it."""
        request = self._request_by_id.get(request_id)
        if request is None:
            self._add_violation(
                "unasked", f"{server} got {request_id}, which no client sent"
            )
            return False
        now = CLOCK.now()
        request.arrivals += 1
        self._check_notices(request_id, request, server, now)
        if request.arrivals > 1:
            self._retry_times_ms.append(now)
            self._check_retry_budget(now)
        self._check_evacuation(request_id, request, server, zone)
        leaving_ms = self._leaving_ms_by_server.get(server)
        late = leaving_ms is not None and now > leaving_ms + MAX_DRAIN_DELAY_MS
        if late and self.is_stable(request.node, leaving_ms):
            waited = now - leaving_ms
            text = f"{server} got {request_id} from {request.node} {waited} ms after"
            self._add_violation("drain", f"{text} it was listed as draining")
        return True

    def record_cold_arrival(self, request_id, server):
        """Record that a request reached a server that is cold."""
        now = CLOCK.now()
        times = self._cold_times_by_server.setdefault(server, [])
        times.append(now)
        count = sum(one > now - 1_000 for one in times)
        allowed = COLD_RATE * COLD_EXCESS + COLD_SLACK
        if count > allowed and self.is_stable(server, now):
            text = f"{server} is cold and got {count} requests in a second"
            self._add_violation("cold", f"{text}, the last {request_id}")

    def _check_evacuation(self, request_id, request, server, zone):
        begin_ms = self._evacuated_ms_by_zone.get(zone)
        if begin_ms is None:
            return
        waited = CLOCK.now() - begin_ms
        if waited > MAX_EVACUATION_DELAY_MS and self.is_stable(request.node, begin_ms):
            text = f"{server} got {request_id} from {request.node} {waited} ms after"
            self._add_violation("evacuation", f"{text} its zone was evacuated")

    def record_said_leaving(self, request_id, server):
        """Record that the answer to a request says that its server leaves."""
        self._leaving_by_request_id[request_id] = server

    def record_pause(self, request_id, server, pause_ms):
        """Record that a server tells a node to send it nothing for a time."""
        link = self._request_by_id[request_id].link, server
        now = CLOCK.now()
        pause = _Pause(now + PAUSE_GRACE_MS, now + pause_ms)
        self._pauses_by_link.setdefault(link, []).append(pause)

    def _check_notices(self, request_id, request, server, now):
        link = request.link, server
        said_ms = self._said_leaving_ms_by_link.get(link)
        if not all(self.is_stable(name, now) for name in (request.node, server)):
            return
        if (
            said_ms is not None
            and request.sent_ms > said_ms + MAX_SAID_LEAVING_DELAY_MS
        ):
            text = f"{server} got {request_id} from {request.node}, sent"
            late_ms = request.sent_ms - said_ms
            self._add_violation("said-leaving", f"{text} {late_ms} ms after it said so")
        for pause in self._pauses_by_link.get(link, ()):
            if pause.begin_ms < now < pause.end_ms:
                pause.arrivals += 1
                if pause.arrivals > MAX_REQUESTS_IN_PAUSE:
                    text = f"{server} got {request_id} from {request.node} within a"
                    self._add_violation("pause", f"{text} time in which it wants none")

    def check_forwarded_headers(self, request_id, headers):
        """Check that a forwarded request names the customer and carries no API key."""
        if headers.get("X-Tenant") != CUSTOMER or "Api-Key" in headers:
            self._add_violation(
                "unasked", f"{request_id} reached a server with the headers {headers}"
            )

    def record_run(self, request_id, server):
        """Record that a server begins to run a request."""
        request = self._request_by_id[request_id]
        request.runs += 1
        if request.kind == "booking" and request.runs > 1:
            self._add_violation(
                "twice", f"{request_id} ran more than once, now at {server}"
            )
        if request.kind == "booking" and request.answer_status in NOT_RUN_STATUSES:
            self._add_violation(
                "refused",
                f"{request_id} ran after its caller got {request.answer_status}",
            )

    def record_answer(self, request_id, status):
        """Record the status that a client got; 0 without an answer."""
        request = self._request_by_id[request_id]
        request.answer_status = status
        leaving = self._leaving_by_request_id.pop(request_id, None)
        if leaving is not None and status == 200:
            link = request.link, leaving
            self._said_leaving_ms_by_link.setdefault(link, CLOCK.now())
        self.answer_counts[request.kind, status] += 1
        if request.kind == "booking" and request.runs and status in NOT_RUN_STATUSES:
            self._add_violation(
                "refused", f"{request_id} has run, but its caller got {status}"
            )
        is_stable = self.is_stable(request.node, request.sent_ms, planned=False)
        if not status and request.arrivals and is_stable:
            self._add_violation("lost", f"{request_id} at {request.node} got no answer")

    def check_body(self, request_id, expected, body):
        """Check that a successful response has the complete body of some server.

        Parameters
        ----------
        request_id : str
            Id of the request, or of the last one that took a stream up.
        expected : iterable of bytes
            Bodies that servers of the several software versions would send.
        body : bytes
            The body, of a stream that was taken up with what came before.
        """
        if body not in expected:
            self._add_violation("whole", f"{request_id} got the wrong body {body!r}")

    def check_version(self, request_id, node, incarnation, version, known):
        """Check that a node has a version of the configuration if it should have it.

        Parameters
        ----------
        request_id : str
            Request to the route that only this version and later ones have.
        node : str
            Name of the node.
        incarnation : int
            Number of its process when the request was sent.
        version : int
            Version of the configuration.
        known : bool
            Whether the node knew the route.
        """
        sent_ms = self._request_by_id[request_id].sent_ms
        key = node, incarnation
        seen, seen_ms = self._newest_version_by_process.get(key, (0, 0))
        if known:
            if version > seen:
                self._newest_version_by_process[key] = version, CLOCK.now()
            return
        where = (
            f"{node} (process {incarnation}) had no route for {request_id} "
            f"of version {version}"
        )
        if version <= seen and sent_ms > seen_ms + MAX_OLD_VERSION_MS:
            self._add_violation(
                "goes-back", f"{where} after version {seen} was in force there"
            )
        published_ms = self._published_ms_by_version[version]
        if sent_ms > published_ms + MAX_IN_FORCE_DELAY_MS and self.is_stable(
            node, published_ms
        ):
            self._add_violation(
                "in-force",
                f"{where}, published {sent_ms - published_ms} ms before",
            )

    def check_served(self, node, kind, status):
        """Check that a node serves requests after all faults are over."""
        if status != 200:
            self._add_violation(
                "recover", f"{node} answered {status} to a {kind} request"
            )

    def check_exit_code(self, node, code, allowed):
        """Check that a process ended with one of the allowed exit codes."""
        if code not in allowed:
            self._add_violation(
                "process", f"{node} ended with exit code {code}, not one of {allowed}"
            )

    def _check_retry_budget(self, now):
        since = now - RETRY_BUDGET_WINDOW_MS
        retry_count = sum(at >= since for at in self._retry_times_ms)
        sent = sum(
            at >= since - RETRY_BUDGET_WINDOW_MS / 2 for at in self._request_times_ms
        )
        if retry_count > self.retry_ratio * sent + self.retry_extra:
            self._add_violation(
                "budget",
                f"{retry_count} retries for {sent} requests exceed the retry budget",
            )

    def _add_violation(self, promise, detail):
        self.violations.append(Violation(promise, detail))
