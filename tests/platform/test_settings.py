"""Tests of `peridotcove.platform.settings`."""

import pathlib
import tempfile
import unittest

from peridotcove.exceptions import InvalidSettings
from peridotcove.platform.settings import KILL_MARGIN_MS
from peridotcove.settings import read_node_settings

TEXT = """
node = "front-a-1"
zone = "a"
region = "r"
seeds = ["10.0.0.1:8000"]
unknown_field = 7
[zones]
a = "r"
[listen]
front = "10.0.0.1:8001"
ready = "10.0.0.1:8002"
control = "10.0.0.1:8000"
[bounds]
grace_s = 8
cap_x = 2
budget_ratio = 0.2
budget_extra = 58
[provider]
addr = "10.9.0.1:8100"
"""


class SettingsTest(unittest.TestCase):
    """Fields of the file become settings of a node, and every fault is reported."""

    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "node.toml"
            file.write_text(text)
            return read_node_settings(str(file))

    def test_fields(self):
        settings = self.read(TEXT)
        self.assertEqual(settings.node, "10.0.0.1:8000")
        self.assertEqual(settings.label, "front-a-1")
        self.assertEqual(settings.callers.port, 8001)
        self.assertEqual(settings.operators.port, 8002)
        self.assertEqual(settings.limits.drain_ms, 8_000 - KILL_MARGIN_MS)
        self.assertEqual(settings.seeds, ("10.0.0.1:8000",))
        self.assertEqual(settings.platform.address, "10.9.0.1:8100")

    def test_zone_traffic(self):
        cases = {
            "": {},
            "[zone_traffic]\non = false": {"zone_traffic": False},
            "[zone_traffic]\non = true": {"zone_traffic": True},
            "[zone_traffic]\ncrossing_ms = 12\nkilobyte_ms = 0.5\nother = 1": {
                "zone_crossing_ms": 12.0,
                "zone_kilobyte_ms": 0.5,
            },
        }
        for text, expected in cases.items():
            with self.subTest(text=text):
                found = self.read(TEXT + text).platform.zone_bounds
                self.assertEqual(found, expected)

    def test_faults_of_zone_traffic(self):
        cases = {
            "on = 1": "zone_traffic.on",
            "crossing_ms = -1": "zone_traffic.crossing_ms",
            "crossing_ms = true": "zone_traffic.crossing_ms",
            "crossing_ms = nan": "zone_traffic.crossing_ms",
            "kilobyte_ms = 10001": "zone_traffic.kilobyte_ms",
            'kilobyte_ms = "1"': "zone_traffic.kilobyte_ms",
        }
        for text, path in cases.items():
            with self.subTest(text=text):
                with self.assertRaises(InvalidSettings) as caught:
                    self.read(f"{TEXT}[zone_traffic]\n{text}")
                (fault,) = caught.exception.exceptions
                self.assertIn(path, str(fault))

    def test_power(self):
        cases = [
            # CPU share, cores, link in Mbit/s, power
            (0.516, 1, 10.0, 1.0),
            (0.717, 3, 200, 4.302),
            (0.537, 2, 1000.0, 2.148),
            (2.0, 4, 5, 0.5),
        ]
        for share, cores, link, power in cases:
            with self.subTest(share=share, link=link):
                limits = f"[limits]\ncpu_share = {share}\ncores = {cores}\n"
                settings = self.read(f"{TEXT}{limits}link_mbps = {link}\n")
                self.assertAlmostEqual(settings.power, power)

    def test_every_fault_is_reported(self):
        text = TEXT.replace('"10.0.0.1:8001"', '"nowhere"').replace("= 58", '= "x"')
        text = text.replace('zone = "a"\n', "")
        with self.assertRaises(InvalidSettings) as caught:
            self.read(text)
        paths = {fault.path.split(".toml")[1] for fault in caught.exception.exceptions}
        expected = {".listen.front", ".bounds.budget_extra", ".zone"}
        self.assertEqual(paths, expected)

    def test_missing_or_invalid_file(self):
        with self.assertRaises(InvalidSettings):
            read_node_settings("/nonexistent/node.toml")
        with self.assertRaises(InvalidSettings):
            self.read("= not TOML")
