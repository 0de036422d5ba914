"""The users' machines: names and formats of their platform, and calls to it."""
