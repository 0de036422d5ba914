"""Tests of the operators' port and commands."""
