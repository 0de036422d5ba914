"""Tests of `peridotcove.engine_time`."""
