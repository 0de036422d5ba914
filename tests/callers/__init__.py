"""Tests of what faces callers."""
