"""Tests of `peridotcove.zone_traffic`."""
