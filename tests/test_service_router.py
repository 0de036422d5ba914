"""Tests of `peridotcove.service_router`: which endpoints a customer's calls may use."""

import random
import types
import unittest
from unittest import mock

from peridotcove.configuration import parse_configuration
from peridotcove.endpoints.service_client import HttpCall
from peridotcove.exceptions import RequestRefused
from peridotcove.fleet_view import FleetView
from peridotcove.service_router import ServiceRouter
from peridotcove.ticketed_calls import TicketedCall
from tests.virtual import run

ZONE_BY_ENDPOINT = {"s1": "a", "s2": "a", "s3": "b"}
REPEATS = 10


def make_raw(**limits):
    endpoints = [
        {"name": name, "url": f"http://127.0.0.1:{port}", "zone": zone}
        for port, (name, zone) in enumerate(ZONE_BY_ENDPOINT.items(), 1)
    ]
    return {
        "revision": 1,
        "zones": {"a": {"region": "east"}, "b": {"region": "west"}},
        "services": {"stock": {"endpoints": endpoints}},
        "customers": {name: {"regions": regions} for name, regions in limits.items()},
    }


class ServiceRouterTest(unittest.TestCase):
    """A customer that is limited to regions reaches endpoints of these only."""

    def setUp(self):
        self.fleet = FleetView("east")
        self.urls = []
        states = types.SimpleNamespace(
            leaving=lambda: (), check_available=lambda name: None
        )
        self.router = ServiceRouter(
            "a", self.fleet, states, self, None, mock.Mock(), random.Random(1), None
        )

    async def call(self, url, call, timeout_ms, repeatable, before_send):
        """Send a call, as the client of the endpoints does."""
        before_send()
        self.urls.append(url)

    def send(self, customer):
        self.urls.clear()
        found = self.fleet.configuration
        service = found.service_by_name["stock"]
        call = HttpCall("GET", "/", (), b"")
        entry = found.customer_by_name[customer]
        for _ in range(REPEATS):
            run(self.router._send_with_retries(service, call, True, entry))
        return {int(url.rpartition(":")[2]) for url in self.urls}

    def test_calls_stay_in_the_regions(self):
        raw = make_raw(free=[], east=["east"], west=["west"])
        self.fleet.set_configuration(parse_configuration(raw))
        self.assertEqual(self.send("east"), {1, 2})
        self.assertEqual(self.send("west"), {3})
        self.assertLessEqual(self.send("free"), {1, 2, 3})

    def test_a_call_without_an_endpoint_in_its_regions_is_refused(self):
        raw = make_raw(south=["south"])
        self.fleet.set_configuration(parse_configuration(raw))
        with self.assertRaises(RequestRefused) as caught:
            self.send("south")
        self.assertEqual(caught.exception.code, "no-region")

    def test_a_ticketed_call_of_an_unknown_customer_does_not_run(self):
        self.fleet.set_configuration(parse_configuration(make_raw()))
        with self.assertRaises(RequestRefused):
            run(self.router.run_ticketed(TicketedCall("t", "c", "POST", "stock", "/")))
        self.assertEqual(self.urls, [])
