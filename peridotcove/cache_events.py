"""Events of the prefix caches of engines."""

from attrs import frozen


@frozen
class CacheEvent:
    """A change of an engine's prefix cache.

    Attributes
    ----------
    engine : str
        Name of the engine.
    sequence : int
        Sequence number of the event; consecutive events have consecutive numbers.
    at_ms : int
        Wall time in ms of the change.
    stored : tuple
        Pairs of prefix hash and depth in blocks that were added to the cache; for
        prompts in parts, pairs of part hash and cached tokens.
    removed : tuple of int
        Hashes that were evicted from it.
    full : bool
        Whether `stored` lists the whole cache.
    """

    engine: str
    sequence: int
    at_ms: int
    stored: tuple = ()
    removed: tuple = ()
    full: bool = False
