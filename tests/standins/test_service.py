"""Tests of the stand-ins for plain services and for the platform."""

import asyncio
import json

import pycurl

from peridotcove.standins.platform import PlatformStandin
from peridotcove.standins.service import ServiceStandin
from tests.standins.case import StandinCase

CONFIGURATION = {"revision": 3, "models": {"gloves": {}}, "zones": {"a": {}}}


class TestService(StandinCase):
    """Runs are counted, and each fault mode has its effect."""

    def make_standin(self):
        return ServiceStandin()

    async def test_status_and_runs_by_mode(self):
        cases = {
            "ok": (200, 1),
            "nothing": (599, 0),
            "error500": (500, 0),
            "run-then-close": (599, 1),
            "half": (599, 1),
            "garbage": (599, 1),
            "two-answers": (200, 1),
            "run-then-close-reused": (200, 1),
        }
        for mode, (code, runs) in cases.items():
            with self.subTest(mode):
                self.standin.faults.set(mode, 1)
                body = {"reference": mode}
                answer = await self.call("/reservations", body)
                self.assertEqual(answer.code, code)
                self.assertEqual(self.standin.runs_by_reference[mode], runs)
        stats = await self.get_json("/stats")
        self.assertEqual((stats["highest_runs"], stats["run_twice"]), (1, 0))

    async def test_used_key_is_refused_if_keys_are_checked(self):
        for checks, code in ((False, 200), (True, 409)):
            with self.subTest(checks=checks):
                self.standin.checks_keys = checks
                headers = {"Idempotency-Key": f"k{checks}"}
                await self.call("/r", {"reference": "r"}, headers=headers)
                again = await self.call("/r", {"reference": "r"}, headers=headers)
                self.assertEqual(again.code, code)

    async def test_curl_resends_on_a_reused_connection(self):
        handle = pycurl.Curl()
        self.addCleanup(handle.close)
        handle.setopt(pycurl.URL, self.standin.url + "/r")
        handle.setopt(pycurl.WRITEFUNCTION, lambda data: None)
        loop = asyncio.get_running_loop()
        for reference in ("first", "second"):
            handle.setopt(pycurl.POSTFIELDS, json.dumps({"reference": reference}))
            await loop.run_in_executor(None, handle.perform)
            self.standin.faults.set("run-then-close-reused")
        self.assertEqual(self.standin.runs_by_reference["second"], 2)


class TestPlatform(StandinCase):
    """The configuration and the list of instances can be read and watched."""

    def make_standin(self):
        return PlatformStandin(CONFIGURATION)

    async def test_only_changed_parts_have_a_new_revision(self):
        parts = {"models": {"models": {"gloves": {}}}, "zones": {"zones": {"b": {}}}}
        changed = {"revision": 4, "parts": parts}
        await self.call("/control/configuration", changed, "PUT")
        manifest = await self.get_json("/configuration/manifest?after=3")
        revisions = {name: x["revision"] for name, x in manifest["parts"].items()}
        self.assertEqual(manifest["revision"], 4)
        self.assertEqual(revisions, {"models": 3, "zones": 4})
        part = await self.get_json("/configuration/parts/zones")
        self.assertEqual(part, {"zones": {"b": {}}})

    async def test_watch_ends_with_a_change_or_without_content(self):
        path = "/configuration/manifest?after=3&wait_ms="
        self.assertEqual((await self.call(path + "0")).code, 204)
        watch = asyncio.ensure_future(self.get_json(path + "60000"))
        while self.standin.reads_by_path["/configuration/manifest"] != 2:
            await asyncio.sleep(0)
        self.standin.set_configuration({**CONFIGURATION, "revision": 4})
        self.assertEqual((await watch)["revision"], 4)

    async def test_up_down_and_stale(self):
        self.standin.set_configuration({**CONFIGURATION, "revision": 4})
        for mode, code, revision in (
            ("stale", 200, 3),
            ("up", 200, 4),
            ("down", 599, 0),
        ):
            with self.subTest(mode):
                await self.call("/control/mode", {"mode": mode}, "PUT")
                answer = await self.call("/configuration/manifest")
                self.assertEqual(answer.code, code)
                if code == 200:
                    self.assertEqual(json.loads(answer.body)["revision"], revision)

    async def test_list_of_instances_and_read_counts(self):
        listed = [{"name": "n1", "kind": "node", "host": "127.0.0.1", "port": 1}]
        await self.call("/control/instances", {"instances": listed}, "PUT")
        headers = {"X-Node": "n1"}
        answer = await self.call("/instances?after=1", headers=headers)
        self.assertEqual(json.loads(answer.body)["instances"], listed)
        stats = await self.get_json("/stats")
        self.assertEqual(stats["reads_by_node"], {"n1": 1})
