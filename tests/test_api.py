"""Tests of the operators' library."""

import json
import pathlib
import tempfile
import unittest

import peridotcove
from peridotcove.configuration_files import read_configuration_json
from peridotcove.exceptions import InvalidSettings
from peridotcove.schema import dump

PARTS = ("engines", "zones")


def describe_small():
    """Return a small valid description."""
    fleet = peridotcove.describe()
    fleet.zone("z1", region="r1")
    fleet.model("m1")
    fleet.engine("e1", "http://10.0.0.1:80", "z1", "m1", weight=2)
    fleet.order_engine("e2", "http://10.0.0.2:80", "z1", "m1")
    service = fleet.service("s1", checks_keys=True)
    service.endpoint("p1", "http://10.0.0.3:80", "z1").once("/orders")
    fleet.customer("c1", keys=["key-one"], concurrency=7)
    return fleet


class DescriptionTest(unittest.TestCase):
    """A description extends the previous one and reports all its faults at once."""

    def test_all_faults_are_reported_with_their_paths(self):
        fleet = describe_small()
        fleet.engine("e3", "http://10.0.0.9:80", "z9", "m1")
        fleet.engine("e1", weight=0)
        fleet.customer("c1")
        fleet.drain("e7")
        fleet.remove("models", "m7")
        fleet.bounds(load_bound=0, que_ms=1)
        with self.assertRaises(peridotcove.InvalidSettings) as caught:
            str(fleet)
        places = {fault.path.split(".", 1)[1] for fault in caught.exception.exceptions}
        expected = {
            "engines.e3.zone",
            "engines.e1",
            "engines.e1.weight",
            "customers.c1",
            "engines.e7",
            "models.m7",
            "bounds.load_bound",
            "bounds.que_ms",
        }
        self.assertEqual(places, expected)

    def test_revision_follows_the_previous_one(self):
        first = json.loads(str(describe_small()))
        fleet = peridotcove.describe(first)
        fleet.start("e2")
        fleet.customer("c1", requests_per_second=3)
        fleet.service("s1").repeat("/orders").endpoint("p1", "http://10.0.0.4:80", "z1")
        made = fleet.configuration()
        self.assertEqual(made.revision, 2)
        self.assertEqual(made.engine_by_name["e1"].weight, 2.0)
        self.assertEqual(made.engine_by_name["e2"].status.value, "in-service")
        self.assertEqual(made.customer_by_name["c1"].concurrency, 7)
        self.assertEqual(len(made.customer_by_name["c1"].key_digests), 1)
        service = made.service_by_name["s1"]
        self.assertEqual(
            [item.url for item in service.endpoints], ["http://10.0.0.4:80"]
        )
        self.assertEqual([route.repeatable for route in service.routes], [True])
        self.assertEqual(first["revision"], 1)

    def test_statuses(self):
        fleet = describe_small()
        fleet.drain("e1")
        fleet.retire("e2")
        engines = fleet.configuration().engine_by_name
        statuses = [engines[name].status.value for name in ("e1", "e2")]
        self.assertEqual(statuses, ["leaving", "retired"])

    def test_without_keep_omitted_objects_are_removed(self):
        fleet = peridotcove.describe(json.loads(str(describe_small())), keep=False)
        fleet.zone("z1", region="r1")
        made = fleet.configuration()
        self.assertEqual((made.revision, made.engine_by_name), (2, {}))

    def test_written_file_and_parts_can_be_read(self):
        fleet = describe_small()
        expected = dump(fleet.configuration())
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder, "whole.json")
            file.write_text(str(fleet), encoding="utf-8")
            self.assertEqual(read_configuration_json(file), expected)
            parts = pathlib.Path(folder, "parts")
            fleet.write_parts(parts)
            again = peridotcove.describe(parts)
            self.assertEqual(dump(again.configuration()), expected)
            again.remove("customers", "c1")
            again.zone("z2", region="r1")
            self.assertNotIn("customers.json", again.write_parts(parts))
            self.assertFalse((parts / "customers.json").exists())
            manifest = json.loads((parts / "manifest.json").read_text("utf-8"))
            revisions = [manifest["parts"][name]["revision"] for name in PARTS]
            self.assertEqual((manifest["revision"], revisions), (2, [1, 2]))

    def test_an_incomplete_folder_is_refused(self):
        for file, text in (
            ("manifest.json", "[]"),
            ("manifest.json", '{"revision": 1}'),
            ("engines.json", '{"engines": {}}'),
            ("engines.json", None),
        ):
            case = self.subTest(file=file, text=text)
            with case, tempfile.TemporaryDirectory() as folder:
                describe_small().write_parts(folder)
                path = pathlib.Path(folder, file)
                path.unlink()
                if text is not None:
                    path.write_text(text, encoding="utf-8")
                with self.assertRaises(InvalidSettings):
                    peridotcove.describe(folder)

    def test_keys_are_not_printed(self):
        self.assertNotIn("key-one", str(describe_small()))
