"""Clients that read the configuration and the instances from the platform."""
