"""Tests of the links between nodes."""
