"""Tests of `peridotcove.host_routes`."""

import random
import unittest
from collections import Counter

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from peridotcove.host_routes import HostRoutes, pick_model
from peridotcove.models import HostRoute, Target


def make_routes(*pairs):
    routes = [
        HostRoute(f"{host}{prefix}", host, prefix, (Target("m"),))
        for host, prefix in pairs
    ]
    return HostRoutes({route.name: route for route in routes})


class HostRoutesTest(unittest.TestCase):
    """The route with the longest matching prefix of the request's host is used."""

    def test_find(self):
        routes = make_routes(("a.example", "/"), ("a.example", "/x/"), ("b", "/x/y/"))
        cases = [
            ("a.example", "/x/1", "a.example/x/"),
            ("A.Example:8080", "/x/1", "a.example/x/"),
            ("a.example", "/x", "a.example/"),
            ("a.example", "/other", "a.example/"),
            ("b", "/x/y/z", "b/x/y/"),
            ("b", "/x/", None),
            ("", "/x/y/z", None),
        ]
        for host, path, expected in cases:
            with self.subTest(host=host, path=path):
                found = routes.find(host, path)
                self.assertEqual(found.name if found else None, expected)

    @given(
        st.sets(st.sampled_from(["/", "/a/", "/a/b/", "/a/b/c/", "/d/"])),
        st.sampled_from(["/", "/a", "/a/b/x", "/a/b/c/x", "/d/", "/e/f"]),
    )
    def test_longest_matching_prefix_is_found(self, prefixes, path):
        found = make_routes(*(("h", prefix) for prefix in prefixes)).find("h", path)
        matching = [prefix for prefix in prefixes if path.startswith(prefix)]
        expected = max(matching, key=len, default=None)
        self.assertEqual(found.prefix if found else None, expected)

    def test_models_are_picked_by_weight(self):
        route = HostRoute("r", "h", "/", (Target("a", 90), Target("b", 10)))
        rng = random.Random(1)
        counts = Counter(pick_model(route, rng) for _ in range(5_000))
        self.assertAlmostEqual(counts["a"] / 5_000, 0.9, delta=0.03)
        only = evolve(route, targets=(Target("a", 0), Target("b", 5)))
        self.assertEqual({pick_model(only, rng) for _ in range(50)}, {"b"})
