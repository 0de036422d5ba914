"""Decides which cached prefixes to move from an engine that drains or is overloaded.

A move pays where the prefill that it saves takes longer than the transfer, priced with
the network that the bytes cross. The largest savings per byte go first, within a
budget.
"""

from attrs import frozen

from peridotcove.clock import MS_PER_S


@frozen
class Rates:
    """What moving and computing cost.

    Attributes
    ----------
    bytes_per_block : int
        KV cache of one block in bytes.
    prefill_ms_per_block : float
        Time that an engine takes to compute a block.
    zone_bytes_per_second, cross_bytes_per_second : float
        Rate of a transfer within an availability zone and between two.
    cross_price : float
        How many times more a ms of transfer between zones counts.
    setup_ms : float
        Fixed cost of a move.
    """

    bytes_per_block: int = 8_388_608
    prefill_ms_per_block: float = 8.0
    zone_bytes_per_second: float = 5e9
    cross_bytes_per_second: float = 2e9
    cross_price: float = 2.0
    setup_ms: float = 5.0


@frozen
class Prefix:
    """A prefix that an engine has in its cache.

    Attributes
    ----------
    key : int
        Hash of the prefix.
    blocks : int
        Its length.
    uses : float
        Expected number of uses while it would stay in the target's cache.
    """

    key: int
    blocks: int
    uses: float


@frozen
class Move:
    """One prefix to export from an engine and import at another.

    Attributes
    ----------
    key : int
        Hash of the prefix.
    source, target : str
        Names of the engines.
    moved_bytes : int
        Bytes that cross the network.
    saved_ms : float
        Expected prefill saved, less the priced transfer.
    """

    key: int
    source: str
    target: str
    moved_bytes: int
    saved_ms: float


def plan_moves(source, targets, prefixes, rates, budget_bytes):
    """Return the moves that pay, the best first.

    Parameters
    ----------
    source : Engine
        Engine that drains or is overloaded.
    targets : list of tuple
        Pairs of `Engine` and free cache blocks; those that may take prefixes.
    prefixes : iterable of Prefix
        What the source has.
    rates : Rates
        Costs.
    budget_bytes : int
        Most bytes in all.
    """
    offers = []
    for prefix in prefixes:
        offer = _best_offer(source, targets, prefix, rates)
        if offer is not None:
            offers.append(offer)
    offers.sort(key=lambda move: (-move.saved_ms / move.moved_bytes, move.key))
    free = {engine.name: blocks for engine, blocks in targets}
    chosen = []
    for move in offers:
        blocks = move.moved_bytes // rates.bytes_per_block
        if move.moved_bytes <= budget_bytes and blocks <= free[move.target]:
            chosen.append(move)
            budget_bytes -= move.moved_bytes
            free[move.target] -= blocks
    return chosen


def _best_offer(source, targets, prefix, rates):
    best = None
    size = prefix.blocks * rates.bytes_per_block
    for engine, free_blocks in targets:
        if engine.model != source.model or free_blocks < prefix.blocks:
            continue
        saved = prefix.uses * prefix.blocks * rates.prefill_ms_per_block
        saved -= _transfer_ms(source, engine, size, rates)
        if size and saved > 0 and (best is None or saved > best.saved_ms):
            best = Move(prefix.key, source.name, engine.name, size, saved)
    return best


def _transfer_ms(source, target, size, rates):
    if source.zone == target.zone:
        return rates.setup_ms + size * MS_PER_S / rates.zone_bytes_per_second
    transfer = size * MS_PER_S / rates.cross_bytes_per_second
    return rates.setup_ms + transfer * rates.cross_price
