"""Tests of three nodes in one process, over real sockets, with stand-in servers."""

import asyncio
import hashlib
import json
import os
import pathlib
import unittest
from unittest import mock

import tornado.httpclient
import tornado.simple_httpclient

from peridotcove.build import find_build
from peridotcove.clock import Clock
from peridotcove.node import Node
from peridotcove.node_lifecycle import close, drain, open_ports, start
from peridotcove.nodes.messages import PROTOCOL
from peridotcove.operators.timeline_collection import collect_timelines
from peridotcove.schema import build
from peridotcove.settings import Settings
from peridotcove.standins.completions import Completion
from peridotcove.standins.engine import EngineOptions, EngineStandin
from peridotcove.standins.platform import PlatformStandin
from peridotcove.standins.service import ServiceStandin
from peridotcove.timeline_merge import filter_entries, merge_timelines

NAMES = ("n1", "n2", "n3")
KEY = "key-of-the-bakery"
HOST = "127.0.0.1"
PATH = "/services/stock/reservations"
TICKET = "Peridotcove-Ticket"
VERDICT = "Peridotcove-Verdict"
MESSAGES = [{"role": "user", "content": "Which stands are free on Saturday?"}]


class TestNode(unittest.IsolatedAsyncioTestCase):
    """Guarantees that need complete nodes: tickets, draining, orders, timelines."""

    async def asyncSetUp(self):
        variable = mock.patch.dict(os.environ, {"TEST_SECRET": "s" * 32})
        variable.start()
        self.addCleanup(variable.stop)
        self.engines = [EngineStandin(EngineOptions("", token_ms=2.0)) for _ in "12"]
        self.service = ServiceStandin()
        self.platform = PlatformStandin()
        for standin in (*self.engines, self.service, self.platform):
            standin.start()
            self.addAsyncCleanup(standin.close)
        self.http = tornado.simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=100
        )
        self.addCleanup(self.http.close)
        self.ports = {}
        self.publish(1)
        self.node_by_name, self.tasks = {}, {}
        await self.start(*NAMES)
        for name in NAMES:
            self.addAsyncCleanup(self.stop, name)
        await self.wait_for(self.is_settled)

    async def start(self, *names):
        for name in names:
            self.node_by_name[name] = node = Node(self.settings(name), Clock())
            await open_ports(node)
            self.ports[name] = node.ports
        self.publish_instances()
        for name in names:
            self.tasks[name] = await start(self.node_by_name[name])

    async def stop(self, name):
        if not self.tasks[name]:
            return
        for task in self.tasks[name]:
            task.cancel()
        await asyncio.gather(*self.tasks[name], return_exceptions=True)
        await close(self.node_by_name[name])
        self.tasks[name] = []

    def settings(self, name):
        raw = {
            "node": name,
            "zone": "z1",
            "region": "r1",
            "callers": {"host": HOST, "port": 0},
            "nodes": {"host": HOST, "port": 0},
            "operators": {"host": HOST, "port": 0},
            "secret": {"variable": "TEST_SECRET"},
            "platform": {
                "configuration_url": self.platform.url,
                "instances_url": self.platform.url,
            },
        }
        return build(Settings, raw, "test")

    def publish(self, revision, model="m"):
        engines = {
            f"e{i}": {"url": engine.url, "zone": "z1", "model": model}
            for i, engine in enumerate(self.engines)
        }
        endpoint = {"name": "s1", "url": self.service.url, "zone": "z1"}
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        value = {
            "revision": revision,
            "zones": {"z1": {"region": "r1"}},
            "models": {"m": {}, "other": {}},
            "engines": engines,
            "services": {"stock": {"endpoints": [endpoint]}},
            "customers": {"bakery": {"key_digests": [digest]}},
        }
        self.platform.set_configuration(value)

    def publish_instances(self, *leaving):
        ports = {name: ports[1] for name, ports in self.ports.items()}
        kinds = [("node", name, port) for name, port in ports.items()]
        kinds += [("engine", f"e{i}", e.port) for i, e in enumerate(self.engines)]
        kinds += [("endpoint", "s1", self.service.port)]
        self.platform.set_instances(
            [
                {
                    "name": name,
                    "kind": kind,
                    "host": HOST,
                    "port": port,
                    "zone": "z1",
                    "state": "leaving" if name in leaving else "live",
                }
                for kind, name, port in kinds
            ]
        )

    def is_settled(self):
        nodes = self.node_by_name.values()
        up_to_date = all(node.links.revision == 1 for node in nodes)
        orders = [engine.assignment for engine in self.engines]
        ordered = all(item.model == "m" and not item.loading for item in orders)
        return up_to_date and ordered and all(len(node.peers()) == 2 for node in nodes)

    async def wait_for(self, condition):
        async with asyncio.timeout(60):
            while not condition():
                await asyncio.sleep(0.01)

    async def call(self, node, path=PATH, body=b"{}", ticket="", **options):
        headers = {"Authorization": f"Bearer {KEY}"}
        if ticket:
            headers[TICKET] = ticket
        url = f"http://{HOST}:{self.ports[node][0]}{path}"
        return await self.http.fetch(
            url,
            method="POST",
            headers=headers,
            body=body,
            raise_error=False,
            **options,
        )

    async def collect_timelines(self):
        addresses = [f"{HOST}:{ports[2]}" for ports in self.ports.values()]
        timelines, missing = await collect_timelines(addresses, Clock())
        self.assertEqual((len(timelines), missing), (3, []))
        return merge_timelines(timelines)

    async def test_each_node_names_the_builds_of_its_peers(self):
        address = f"http://{HOST}:{self.ports['n1'][2]}"
        nodes = json.loads((await self.http.fetch(f"{address}/nodes")).body)
        self.assertEqual([peer["node"] for peer in nodes["peers"]], ["n2", "n3"])
        builds = {(one["build"], one["protocol"]) for one in (nodes, *nodes["peers"])}
        self.assertEqual(builds, {(find_build(), PROTOCOL)})
        metrics = (await self.http.fetch(f"{address}/metrics")).body.decode()
        labels = f'{{build="{find_build()}",protocol="{PROTOCOL}"}}'
        self.assertIn(f"peridotcove_nodes_by_build{labels} 3.0", metrics)

    async def test_timeline_shows_causes_of_revision_and_request(self):
        self.publish(2)
        nodes = self.node_by_name.values()
        await self.wait_for(lambda: all(node.links.revision == 2 for node in nodes))
        entries = filter_entries(await self.collect_timelines(), revision=2)
        kinds = [entry.event.kind for entry in entries]
        self.assertEqual(kinds.count("revision-in-force"), 3, kinds)
        self.assertEqual(kinds[0], "revision-read")
        received = [one for one in entries if one.event.kind == "revision-received"]
        for entry in received:
            self.assertEqual(entry.cause.event.kind, "revision-sent")
        body = json.dumps({"model": "m", "messages": MESSAGES})
        owners = set()
        for name in NAMES:
            answer = await self.call(name, "/v1/chat/completions", body)
            request_id = bytes.fromhex(answer.headers["X-Request-Id"])
            entries = filter_entries(await self.collect_timelines(), request_id)
            granted = next(e for e in entries if e.event.kind == "lease-granted")
            owners.add(granted.node)
            if granted.node != name:
                self.assertEqual(granted.cause.node, name)
        self.assertEqual(len(owners), 1)

    async def get_ticket(self, node):
        answer = await self.call(node)
        self.assertEqual((answer.code, answer.headers[VERDICT]), (428, "not-run"))
        return answer.headers[TICKET]

    async def assert_call(self, node, ticket, code, verdict, runs, body=b"{}"):
        answer = await self.call(node, ticket=ticket, body=body)
        found = (answer.code, answer.headers[VERDICT])
        self.assertEqual(found, (code, verdict), answer.body)
        self.assertEqual(self.service.runs_by_key[ticket], runs)
        return answer

    async def test_resent_call_runs_once_on_any_node(self):
        ticket = await self.get_ticket("n1")
        first = await self.assert_call("n2", ticket, 200, "ran", 1)
        for node in NAMES:
            again = await self.assert_call(node, ticket, 200, "ran", 1)
            self.assertEqual(again.body, first.body)
        for body in (b"other", b""):
            await self.assert_call("n3", ticket, 422, "may-have-run", 1, body)
        together = [self.call(node, ticket=ticket) for node in NAMES * 5]
        for answer in await asyncio.gather(*together):
            self.assertEqual(answer.body, first.body)
        self.assertEqual(self.service.runs_by_key[ticket], 1)

    async def test_lost_response_stays_may_have_run(self):
        for mode in ("run-then-close", "half", "garbage"):
            with self.subTest(mode):
                ticket = await self.get_ticket("n1")
                self.service.faults.set(mode, 1)
                await self.assert_call("n2", ticket, 502, "may-have-run", 1)
                for node in NAMES:
                    await self.assert_call(node, ticket, 409, "may-have-run", 1)

    async def test_example_of_callers_page(self):
        page = pathlib.Path(__file__).parent.parent / "docs" / "callers.md"
        code = page.read_text(encoding="utf-8").split("```python\n")[1].split("```")[0]
        self.assertLessEqual(len(code[code.index("def ") :].splitlines()), 20)
        names = {}
        exec(code, names)  # noqa: S102
        url = f"http://{HOST}:{self.ports['n1'][0]}{PATH}"
        expected = {"ok": "ran", "run-then-close": "may-have-run", "error500": "ran"}
        for mode, verdict in expected.items():
            with self.subTest(mode):
                self.service.faults.set(mode, 1)
                body = {"reference": mode}
                found = await asyncio.to_thread(
                    names["call_once"], url, KEY, body, tries=4, pause_s=0
                )
                self.assertEqual(found[0], verdict)
                self.assertLessEqual(self.service.runs_by_reference[mode], 1)

    async def test_refused_ticket_is_used_up_and_replaced(self):
        ticket = await self.get_ticket("n1")
        self.publish_instances("s1")
        nodes = self.node_by_name.values()
        await self.wait_for(
            lambda: all(n.endpoint_states.leaving() == ["s1"] for n in nodes)
        )
        answer = await self.assert_call("n2", ticket, 503, "not-run", 0)
        self.assertIn(TICKET, answer.headers)
        await self.assert_call("n3", ticket, 409, "not-run", 0)

    async def test_only_minting_node_answers_not_run(self):
        ticket = await self.get_ticket("n1")
        await self.assert_call("n1", ticket, 200, "ran", 1)
        paths = ("/services/other/x", "/services/other/x", "/nowhere")
        for path in paths:
            answer = await self.call("n2", path, ticket=ticket)
            self.assertEqual(answer.headers[VERDICT], "may-have-run")
        self.node_by_name["n2"].drain.begin()
        self.node_by_name["n2"].drain.stage = mock.Mock()
        answer = await self.call("n2", ticket=ticket)
        found = (answer.code, answer.headers[VERDICT])
        self.assertEqual(found, (503, "may-have-run"))

    async def test_ticket_of_restarted_node_stays_may_have_run(self):
        ticket = await self.get_ticket("n1")
        await self.assert_call("n2", ticket, 200, "ran", 1)
        await self.stop("n1")
        with mock.patch("peridotcove.service_router.TICKET_WAIT_MS", 300):
            await self.assert_call("n2", ticket, 503, "may-have-run", 1)
        await self.start("n1")
        await self.wait_for(self.is_settled)
        for name in NAMES:
            await self.assert_call(name, ticket, 409, "may-have-run", 1)

    async def test_drain_finishes_stream_and_hands_over_tickets(self):
        used, unused = await self.get_ticket("n1"), await self.get_ticket("n1")
        first = await self.assert_call("n2", used, 200, "ran", 1)
        chat = {"model": "m", "messages": MESSAGES, "max_tokens": 1500, "stream": True}
        body = json.dumps(chat).encode()
        path = "/v1/chat/completions"
        stream = asyncio.create_task(self.call("n1", path, body, request_timeout=60))
        await self.wait_for(lambda: any(e.scheduler.running for e in self.engines))
        await drain(self.node_by_name["n1"])
        self.assertEqual(self.node_by_name["n1"].drain.aborted_count, 0)
        answer = await stream
        self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(answer.body.count(b"data: "), 1501)
        await self.stop("n1")
        again = await self.assert_call("n3", used, 200, "ran", 1)
        self.assertEqual(again.body, first.body)
        await self.assert_call("n3", unused, 200, "ran", 1)
        await self.assert_call("n2", unused, 200, "ran", 1)

    async def test_leaving_engine_gets_no_new_work(self):
        self.publish_instances("e0")
        nodes = self.node_by_name.values()
        await self.wait_for(
            lambda: all(n.endpoint_states.leaving() == ["e0"] for n in nodes)
        )
        before = self.engines[0].requests
        chat = {"model": "m", "messages": MESSAGES, "max_tokens": 4}
        body = json.dumps(chat).encode()
        for node in NAMES * 3:
            answer = await self.call(node, "/v1/chat/completions", body)
            self.assertEqual(answer.code, 200, answer.body)
            text = json.loads(answer.body)["choices"][0]["message"]["content"]
            self.assertEqual(text, Completion("m", MESSAGES).text(4))
        self.assertEqual(self.engines[0].requests, before)

    async def test_orders_follow_the_configuration(self):
        self.publish(2, model="other")
        orders = lambda: [engine.assignment for engine in self.engines]
        await self.wait_for(lambda: all(o.model == "other" for o in orders()))
        self.assertEqual([item.fence for item in orders()], [2, 2])

    async def test_refusal_before_ticket_check_is_may_have_run(self):
        url = f"http://{HOST}:{self.ports['n1'][0]}{PATH}"
        key_header = {"Authorization": f"Bearer {KEY}"}
        node = self.node_by_name["n1"]
        first = await self.http.fetch(
            url, method="POST", body=b"{}", headers=key_header, raise_error=False
        )
        self.assertEqual((first.code, first.headers[VERDICT]), (428, "not-run"))
        ticket = {TICKET: first.headers[TICKET]}
        cases = {
            "unknown service": (url.replace("stock", "no"), key_header | ticket),
            "unknown customer": (url, ticket),
        }
        for name, (target, headers) in cases.items():
            with self.subTest(refused=name):
                answer = await self.http.fetch(
                    target,
                    method="POST",
                    body=b"{}",
                    headers=headers,
                    raise_error=False,
                )
                self.assertGreaterEqual(answer.code, 400)
                self.assertEqual(answer.headers[VERDICT], "may-have-run")
        bucket = node.interface.entry_limiter.bucket_by_customer["bakery"]
        bucket.tokens, bucket.share, bucket.share_until_ms = 0, 0.001, 1 << 60
        answer = await self.http.fetch(
            url,
            method="POST",
            body=b"{}",
            headers=key_header | ticket,
            raise_error=False,
        )
        self.assertEqual((answer.code, answer.headers[VERDICT]), (200, "ran"))
