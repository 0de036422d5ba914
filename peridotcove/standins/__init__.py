"""Emulators of the systems that the routers work with, for tests and the demo."""
