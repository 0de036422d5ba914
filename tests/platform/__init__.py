"""Tests of `peridotcove.platform`."""
