"""HTTP server of the operators' port: health, metrics, configuration, nodes, timeline.

The pages need no framework of handlers, whose import would delay the start of a node.
"""

import json

from tornado.httputil import HTTPHeaders, ResponseStartLine, responses

from peridotcove.connection_memory.server import BoundedServer
from peridotcove.registry import Registry

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1_024
MAX_SEQUENCE_DIGITS = 18
# Idle timeout of a connection.
IDLE_TIMEOUT_S = 75
JSON_TYPE = "application/json; charset=UTF-8"

# A page takes the node's status and the request, and returns status, content type and
# body.
pages = Registry("page")


def _json_page(value, status=200):
    return status, JSON_TYPE, json.dumps(value).encode()


@pages.register("/health")
def show_health(node_status, request):
    """``GET /health``: liveness of the process and its event loop."""
    return _json_page({"status": "ok"})


@pages.register("/ready")
def show_readiness(node_status, request):
    """``GET /ready``: whether the load balancer may send callers to this node."""
    reason = node_status.find_unready_reason()
    return _json_page({"ready": not reason, "reason": reason}, 503 if reason else 200)


@pages.register("/metrics")
def show_metrics(node_status, request):
    """``GET /metrics``: metrics in the Prometheus text format."""
    from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

    node_status.update_gauges()
    return 200, CONTENT_TYPE_LATEST, generate_latest(node_status.metrics.registry)


@pages.register("/configuration")
def show_configuration(node_status, request):
    """``GET /configuration``: revision in force, and faults of a refused revision."""
    return _json_page(node_status.describe_configuration())


@pages.register("/nodes")
def show_nodes(node_status, request):
    """``GET /nodes``: build and protocol of this node and of its peers."""
    return _json_page(node_status.describe_nodes())


@pages.register("/timeline")
def show_timeline(node_status, request):
    """``GET /timeline?after=SEQUENCE``: buffered events after a sequence number."""
    after = request.arguments.get("after", [b"0"])[-1]
    if not after.isdigit() or len(after) > MAX_SEQUENCE_DIGITS:
        return _json_page({"error": "'after' must be a whole number"}, 400)
    return _json_page(node_status.timeline.export(int(after)))


def make_server(node_status, group):
    """Return the operators' HTTP server, not yet listening.

    Parameters
    ----------
    node_status : NodeStatus
        Status that the pages show.
    group : ConnectionGroup
        Bounds the connections.
    """
    return BoundedServer(
        lambda request: _answer(node_status, request),
        group,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_BODY_BYTES,
        idle_connection_timeout=IDLE_TIMEOUT_S,
    )


def _answer(node_status, request):
    page = pages.by_name.get(request.path)
    if page is None:
        answer = _json_page({"error": f"no page {request.path}"}, 404)
    elif request.method not in ("GET", "HEAD"):
        answer = _json_page({"error": "the pages can only be read"}, 405)
    else:
        answer = page(node_status, request)
    status, content_type, body = answer
    headers = HTTPHeaders(
        {"Content-Type": content_type, "Content-Length": str(len(body))}
    )
    line = ResponseStartLine("HTTP/1.1", status, responses[status])
    chunk = None if request.method == "HEAD" else body
    request.connection.write_headers(line, headers, chunk)
    request.connection.finish()
