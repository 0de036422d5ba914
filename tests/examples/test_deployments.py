"""Tests of the example deployments."""

import unittest

from examples import cake_stands, gloves
from peridotcove.configuration import parse_configuration
from peridotcove.part_splitting import MAX_PART_BYTES, format_compact_json, join_parts
from peridotcove.schema import dump

# Module; numbers of zones, engines in service, endpoints of the plain service and
# customers; service, method and path of a call that must run at most once.
DEPLOYMENTS = (
    (cake_stands, 4, 6, 4, 10, ("booking", "POST", "/reservations/9")),
    (gloves, 3, 9, 3, 10, ("orders", "PUT", "/dispatches")),
)


class DeploymentsTest(unittest.TestCase):
    """Each example describes a valid configuration."""

    def test_sizes(self):
        for example, zones, engines, servers, customers, call in DEPLOYMENTS:
            with self.subTest(example=example.__name__):
                deployment = example.describe().configuration()
                service = deployment.service_by_name[call[0]]
                serving = [
                    engine
                    for engine in deployment.engine_by_name.values()
                    if engine.status.value == "in-service"
                ]
                self.assertEqual(len(deployment.zone_by_name), zones)
                self.assertEqual(len(serving), engines)
                self.assertEqual(len(service.endpoints), servers)
                self.assertEqual(len(deployment.customer_by_name), customers)
                self.assertFalse(service.repeatable(*call[1:]))
                self.assertEqual(deployment.revision, 1)

    def test_parts_join_to_the_configuration(self):
        for example, *_ in DEPLOYMENTS:
            with self.subTest(example=example.__name__):
                fleet = example.describe()
                parts = fleet.parts()
                deployment = parse_configuration(join_parts(parts, 1))
                self.assertEqual(deployment, fleet.configuration())
                sizes = [len(format_compact_json(part)) for part in parts.values()]
                self.assertLess(max(sizes), MAX_PART_BYTES)

    def test_unchanged_deployment_keeps_its_revision(self):
        for example, *_ in DEPLOYMENTS:
            with self.subTest(example=example.__name__):
                first = dump(example.describe().configuration())
                again = example.describe(first)
                self.assertEqual(again.configuration().revision, 1)
                again.bounds(queue_ms=1)
                self.assertEqual(again.configuration().revision, 2)
