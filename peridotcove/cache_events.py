"""News of the prefix caches of engines."""

from attrs import frozen


@frozen
class CacheEvent:
    """News of an engine's prefix cache.

    Attributes
    ----------
    engine : str
        Name of the engine.
    sequence : int
        Number of the event; the next one has the next number.
    at_ms : int
        Wall time in ms at which it happened.
    stored : tuple
        Pairs of prefix hash and depth in blocks that entered the cache.
    removed : tuple of int
        Prefix hashes that left it.
    full : bool
        Whether `stored` is all that the cache holds.
    """

    engine: str
    sequence: int
    at_ms: int
    stored: tuple = ()
    removed: tuple = ()
    full: bool = False
