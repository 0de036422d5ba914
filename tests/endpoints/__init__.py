"""Tests of HTTP towards engines and plain services."""
