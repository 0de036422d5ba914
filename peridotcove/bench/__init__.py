"""Benches of routing, fleets, capacity, relaying and the operators' tools."""
