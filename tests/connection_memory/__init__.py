"""Tests of `peridotcove.connection_memory`."""
