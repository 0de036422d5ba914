"""Tests of the HTTP clients for engines and plain services."""
