"""What an engine will have done by when, learnt from its answers.

These modules decide from plain values and a clock, without input or output. They are
used by the owner of a shard.
"""
