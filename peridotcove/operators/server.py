"""The operators' port: health, readiness, metrics, configuration and time line."""

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1_024


class _Page(RequestHandler):
    def initialize(self, desk):
        self.desk = desk


class HealthPage(_Page):
    """``GET /health``: the process runs its loop."""

    def get(self):
        """Answer with 200."""
        self.write({"status": "ok"})


class ReadyPage(_Page):
    """``GET /ready``: whether the balancer is to send callers here."""

    def get(self):
        """Answer with 200 or 503 and the reason."""
        reason = self.desk.unready_reason()
        self.set_status(503 if reason else 200)
        self.write({"ready": not reason, "reason": reason})


class MetricsPage(_Page):
    """``GET /metrics``: Prometheus metrics."""

    def get(self):
        """Answer with the metrics as text."""
        self.desk.refresh()
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.write(generate_latest(self.desk.metrics.registry))


class ConfigurationPage(_Page):
    """``GET /configuration``: the revision in force, and faults of a refused one."""

    def get(self):
        """Answer with revision, age and faults."""
        self.write(self.desk.describe_configuration())


class TimelinePage(_Page):
    """``GET /timeline?after=SEQUENCE``: the node's events."""

    def get(self):
        """Answer with the kept events that follow a sequence number."""
        after = self.get_query_argument("after", "0")
        if not after.isdigit() or len(after) > 18:
            self.set_status(400)
            self.write({"error": "'after' must be a whole number"})
            return
        self.write(self.desk.timeline.export(int(after)))


def make_server(desk):
    """Return the operators' HTTP server, not yet listening.

    Parameters
    ----------
    desk : OperatorDesk
        What the pages show.
    """
    work = {"desk": desk}
    routes = [
        (r"/health", HealthPage, work),
        (r"/ready", ReadyPage, work),
        (r"/metrics", MetricsPage, work),
        (r"/configuration", ConfigurationPage, work),
        (r"/timeline", TimelinePage, work),
    ]
    return HTTPServer(
        Application(routes),
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_BODY_BYTES,
    )
