"""Tests of the operators' port with a node status in place of a node."""

import json

from prometheus_client import CollectorRegistry, Counter
from tornado.httpclient import AsyncHTTPClient
from tornado.testing import AsyncHTTPTestCase

from peridotcove.clock import Clock
from peridotcove.connection_memory.capacity import plan_capacity
from peridotcove.connection_memory.memory import ConnectionMemory
from peridotcove.connection_memory.server import ConnectionGroup
from peridotcove.operators.server import make_server
from peridotcove.settings import Machine


class _Timeline:
    def export(self, after):
        return {"after": after, "events": []}


class _Metrics:
    def __init__(self):
        self.registry = CollectorRegistry()
        Counter("calls", "Calls.", registry=self.registry).inc(3)


class _NodeStatus:
    def __init__(self):
        self.reason = ""
        self.metrics = _Metrics()
        self.timeline = _Timeline()
        self.updated_count = 0

    def find_unready_reason(self):
        return self.reason

    def describe_configuration(self):
        return {"revision": 7}

    def describe_nodes(self):
        return {"node": "n1", "build": "0.1.0+abc", "peers": []}

    def update_gauges(self):
        self.updated_count += 1


class OperatorPagesTest(AsyncHTTPTestCase):
    """Each page answers with its content, and what is no page with an error."""

    def setUp(self):
        self.status = _NodeStatus()
        super().setUp()

    def get_http_server(self):
        capacity = plan_capacity(Machine(), 1_024)
        clock = Clock()
        memory = ConnectionMemory(clock, capacity, 1, 1)
        group = ConnectionGroup(capacity.operators, memory, clock, lambda reason: None)
        return make_server(self.status, group)

    def get_app(self):
        """Not used: the server has no application."""

    def get_http_client(self):
        return AsyncHTTPClient()

    def read(self, path, **options):
        answer = self.fetch(path, **options)
        body = json.loads(answer.body) if answer.body else None
        return answer.code, body

    def test_health(self):
        self.assertEqual(self.read("/health"), (200, {"status": "ok"}))

    def test_ready_tells_the_reason(self):
        self.assertEqual(self.read("/ready"), (200, {"ready": True, "reason": ""}))
        self.status.reason = "leaving"
        expected = (503, {"ready": False, "reason": "leaving"})
        self.assertEqual(self.read("/ready"), expected)

    def test_metrics_are_current(self):
        answer = self.fetch("/metrics")
        self.assertEqual(answer.code, 200)
        self.assertIn(b"calls_total 3.0", answer.body)
        self.assertTrue(answer.headers["Content-Type"].startswith("text/plain"))
        self.assertEqual(self.status.updated_count, 1)

    def test_configuration(self):
        self.assertEqual(self.read("/configuration"), (200, {"revision": 7}))

    def test_nodes_with_their_builds(self):
        expected = {"node": "n1", "build": "0.1.0+abc", "peers": []}
        self.assertEqual(self.read("/nodes"), (200, expected))

    def test_timeline_after_a_sequence_number(self):
        self.assertEqual(self.read("/timeline")[1]["after"], 0)
        self.assertEqual(self.read("/timeline?after=12")[1]["after"], 12)
        for text in ("x", "-1", "9" * 19, ""):
            with self.subTest(text):
                self.assertEqual(self.read(f"/timeline?after={text}")[0], 400)

    def test_head_has_no_body(self):
        answer = self.fetch("/health", method="HEAD")
        self.assertEqual((answer.code, answer.body), (200, b""))
        self.assertEqual(answer.headers["Content-Length"], "16")

    def test_what_is_no_page(self):
        self.assertEqual(self.read("/timelines")[0], 404)
        self.assertEqual(self.read("/health", method="POST", body=b"")[0], 405)
