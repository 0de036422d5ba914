"""Decides when requests leave the availability zone in which they arrived.

The owner of a shard decides. It sees the load of all engines and the zone of each
request. Nothing here does input or output.
"""
