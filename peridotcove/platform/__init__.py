"""Adapter to the users' platform: its settings, names, formats and interfaces."""
