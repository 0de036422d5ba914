"""Tests that an invalid configuration is refused as a whole, with all its faults."""

import copy
import unittest

from peridotcove.configuration import parse_configuration
from peridotcove.exceptions import InvalidSettings
from peridotcove.schema import dump

KEY = "0" * 64
GOOD = {
    "revision": 3,
    "bounds": {"load_bound": 1.5},
    "zones": {"east-1": {"region": "r1"}},
    "models": {"m1": {"adapters": ["a1"]}},
    "engines": {"e1": {"url": "http://10.0.0.1:80", "zone": "east-1", "model": "m1"}},
    "services": {
        "s1": {
            "endpoints": [
                {"name": "p1", "url": "http://10.0.0.2:80", "zone": "east-1"}
            ],
            "routes": [{"prefix": "/stock", "repeatable": True}],
        }
    },
    "customers": {"c1": {"key_digests": [KEY]}},
}
ENGINE = GOOD["engines"]["e1"]
# Section, name, field, new value, path of the expected fault, words in its text.
FAULTS = (
    ("bounds", None, "load_bound", 0, "c.bounds.load_bound", "1.0 to 100.0"),
    ("bounds", None, "load_bound", float("nan"), "c.bounds.load_bound", "1.0"),
    ("bounds", None, "queue_ms", True, "c.bounds.queue_ms", "a whole number"),
    ("bounds", None, "quue_ms", 1, "c.bounds.quue_ms", "did you mean 'queue_ms'?"),
    ("engines", "e1", "zone", "east-2", "c.engines.e1.zone", "did you mean 'east-1'?"),
    ("engines", "e1", "model", "x", "c.engines.e1.model", "a described model"),
    ("engines", "e1", "name", "e2", "c.engines.e1.name", "'e1'"),
    ("engines", "e1", "role", "mixd", "c.engines.e1.role", "'mixed'"),
    ("engines", "e1", "url", "http://host:80", "c.engines.e1.url", "http://IP:PORT"),
    ("engines", "e1", "url", "http://10.0.0.1", "c.engines.e1.url", "http://IP:PORT"),
    ("engines", "e1", "status", "gone", "c.engines.e1.status", "on-order"),
    ("engines", "e2", None, ENGINE, "c.engines.e2.url", "than that of c.engines.e1"),
    ("engines", "p1", None, ENGINE, "c.services.s1.endpoints[0].name", "engines.p1"),
    ("engines", "a b", None, ENGINE, "c.engines.a b.name", "letters, digits"),
    ("zones", "east-1", "region", "", "c.zones.east-1.region", "letters, digits"),
    ("models", "m1", "adapters", ["a", "a"], "c.models.m1.adapters", "once each"),
    ("customers", "c1", "key_digests", ["sk-1"], "c.customers.c1.key_digests[0]", "64"),
    ("customers", "c2", None, {"key_digests": [KEY]}, "c.customers.c2.key_", "c1"),
    ("services", "s1", "endpoints", {}, "c.services.s1.endpoints", "a list"),
    ("services", "s1", "routes", [{"prefix": "x"}], "c.services.s1.routes[0]", "path"),
    ("customers", "c1", "label", "\ud800", "c.customers.c1.label", "lone surrogates"),
)


def put(raw, kind, name, field, value):
    """Return a copy of a configuration with one value changed."""
    raw = copy.deepcopy(raw)
    place = raw[kind] if name is None else raw[kind].setdefault(name, {})
    if field is None:
        raw[kind][name] = copy.deepcopy(value)
    else:
        place[field] = value
    return raw


def replace_each_text(value, text):
    """Yield copies of a JSON value in each of which one string or key is replaced."""
    if isinstance(value, str):
        yield text
    members = value.items() if isinstance(value, dict) else ()
    for key, member in members:
        yield {text if one == key else one: value[one] for one in value}
        for changed in replace_each_text(member, text):
            yield value | {key: changed}
    if isinstance(value, list):
        for index, member in enumerate(value):
            for changed in replace_each_text(member, text):
                yield [*value[:index], changed, *value[index + 1 :]]


def faults_of(raw):
    """Return the faults of a configuration."""
    try:
        parse_configuration(raw, "c")
    except InvalidSettings as error:
        return list(error.exceptions)
    return []


class ConfigurationTest(unittest.TestCase):
    """A configuration is accepted as a whole or refused with all its faults."""

    def test_valid_configuration_round_trips(self):
        self.assertEqual(dump(parse_configuration(GOOD)), GOOD)

    # Such a text can't be sent to other nodes.
    def test_text_that_utf8_can_not_encode_is_refused_anywhere(self):
        label = {"label": "Cakes", "key_digests": [KEY]}
        version = ENGINE | {"software_version": "v1"}
        whole = GOOD | {"customers": {"c1": label}, "engines": {"e1": version}}
        self.assertEqual(faults_of(whole), [])
        changed = list(replace_each_text(whole, "v\ud800"))
        self.assertGreater(len(changed), 30)
        for raw in changed:
            with self.subTest(raw=ascii(raw)):
                self.assertTrue(faults_of(raw))

    def test_each_fault_is_reported_with_its_path(self):
        for kind, name, field, value, place, words in FAULTS:
            with self.subTest(place=place, value=value):
                texts = [str(f) for f in faults_of(put(GOOD, kind, name, field, value))]
                found = [t for t in texts if t.startswith(place) and words in t]
                self.assertTrue(found, texts)

    def test_all_faults_are_reported_at_once(self):
        raw = GOOD
        for kind, name, field, value, _, _ in FAULTS[5:8]:
            raw = put(raw, kind, name, field, value)
        raw = put(raw, "bounds", None, "load_bound", 0)
        raw = put(raw, "customers", "c1", "key_digests", ["sk-1"])
        places = {fault.path for fault in faults_of(raw)}
        expected = {"c.bounds.load_bound", "c.engines.e1.name"}
        self.assertLessEqual(expected, places)
        self.assertIn("c.customers.c1.key_digests[0]", places)

    def test_references_of_an_invalid_engine_are_checked(self):
        raw = put(GOOD, "engines", "e1", "zone", "west-9")
        raw = put(raw, "engines", "e1", "capacity", 0)
        places = {fault.path for fault in faults_of(raw)}
        self.assertEqual(places, {"c.engines.e1.zone", "c.engines.e1.capacity"})

    def test_an_invalid_zone_is_reported_once(self):
        faults = faults_of(put(GOOD, "zones", "east-1", "region", 5))
        self.assertEqual([fault.path for fault in faults], ["c.zones.east-1.region"])

    def test_a_key_is_not_shown_in_a_fault(self):
        raw = put(GOOD, "customers", "c1", "key_digests", ["sk-very-secret"])
        self.assertNotIn("sk-very", "".join(map(str, faults_of(raw))))
