"""HTTP server of the operators' port: health, metrics, configuration, time line."""

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1_024


class _Page(RequestHandler):
    def initialize(self, node_status):
        self.node_status = node_status


class HealthPage(_Page):
    """``GET /health``: liveness of the process and its event loop."""

    def get(self):
        """Answer with 200."""
        self.write({"status": "ok"})


class ReadyPage(_Page):
    """``GET /ready``: whether the load balancer may send callers to this node."""

    def get(self):
        """Answer with 200, or with 503 and the reason."""
        reason = self.node_status.find_unready_reason()
        self.set_status(503 if reason else 200)
        self.write({"ready": not reason, "reason": reason})


class MetricsPage(_Page):
    """``GET /metrics``: Prometheus metrics."""

    def get(self):
        """Answer with the metrics in the Prometheus text format."""
        self.node_status.update_gauges()
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.write(generate_latest(self.node_status.metrics.registry))


class ConfigurationPage(_Page):
    """``GET /configuration``: revision in force, and faults of a refused revision."""

    def get(self):
        """Answer with revision, age and faults."""
        self.write(self.node_status.describe_configuration())


class TimelinePage(_Page):
    """``GET /timeline?after=SEQUENCE``: events of the node."""

    def get(self):
        """Answer with the buffered events after a sequence number."""
        after = self.get_query_argument("after", "0")
        if not after.isdigit() or len(after) > 18:
            self.set_status(400)
            self.write({"error": "'after' must be a whole number"})
            return
        self.write(self.node_status.timeline.export(int(after)))


def make_server(node_status):
    """Return the operators' HTTP server, not yet listening.

    Parameters
    ----------
    node_status : NodeStatus
        Status that the pages show.
    """
    arguments = {"node_status": node_status}
    routes = [
        (r"/health", HealthPage, arguments),
        (r"/ready", ReadyPage, arguments),
        (r"/metrics", MetricsPage, arguments),
        (r"/configuration", ConfigurationPage, arguments),
        (r"/timeline", TimelinePage, arguments),
    ]
    return HTTPServer(
        Application(routes),
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_BODY_BYTES,
    )
