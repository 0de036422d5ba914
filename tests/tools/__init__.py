"""Tests of the build tools."""
