"""Fault soak: real node processes on loopback under externally injected faults."""
