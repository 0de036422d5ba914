"""Routers for very many chats that return after pauses."""

__version__ = "0.1.0"
