"""Tests of what is read from the platform."""
