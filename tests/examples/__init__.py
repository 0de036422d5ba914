"""Tests of the example deployments."""
