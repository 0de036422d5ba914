"""Plans KV cache transfers away from an engine that drains or is overloaded.

A transfer pays if the prefill that it saves takes longer than the transfer, weighted by
the cost of the network path. Transfers with the largest savings per byte are planned
first, within a budget of bytes.
"""

from attrs import frozen

from peridotcove.clock import MS_PER_S


@frozen
class TransferCosts:
    """Costs of transferring and of computing a prefix.

    Attributes
    ----------
    bytes_per_block : int
        KV cache of one block in bytes.
    prefill_ms_per_block : float
        Time that an engine takes to compute a block.
    same_zone_bytes_per_second, cross_zone_bytes_per_second : float
        Transfer rate within an availability zone and between two.
    cross_zone_factor : float
        Factor on the time of a transfer between zones.
    setup_ms : float
        Fixed cost of a transfer.
    """

    bytes_per_block: int = 8_388_608
    prefill_ms_per_block: float = 8.0
    same_zone_bytes_per_second: float = 5e9
    cross_zone_bytes_per_second: float = 2e9
    cross_zone_factor: float = 2.0
    setup_ms: float = 5.0


@frozen
class CachedPrefix:
    """A prefix in the cache of an engine.

    Attributes
    ----------
    key : int
        Hash of the prefix.
    blocks : int
        Its length in blocks.
    uses : float
        Expected number of uses before the target would evict it.
    """

    key: int
    blocks: int
    uses: float


@frozen
class PrefixTransfer:
    """Transfer of one prefix from the cache of an engine to that of another.

    Attributes
    ----------
    key : int
        Hash of the prefix.
    source, target : str
        Names of the engines.
    transfer_bytes : int
        Bytes sent over the network.
    saved_ms : float
        Expected prefill time saved, less the weighted transfer time.
    """

    key: int
    source: str
    target: str
    transfer_bytes: int
    saved_ms: float


def plan_transfers(source, targets, prefixes, costs, budget_bytes):
    """Return the transfers that pay, largest savings per byte first.

    Parameters
    ----------
    source : Engine
        Engine that drains or is overloaded.
    targets : list of tuple
        Pairs of `Engine` and free cache blocks, for the engines that may receive
        prefixes.
    prefixes : iterable of CachedPrefix
        Prefixes in the cache of the source.
    costs : TransferCosts
        Costs of transfer and prefill.
    budget_bytes : int
        Limit of the bytes of all transfers.
    """
    candidates = []
    for prefix in prefixes:
        candidate = _best_transfer(source, targets, prefix, costs)
        if candidate is not None:
            candidates.append(candidate)
    candidates.sort(
        key=lambda option: (
            -option.saved_ms / option.transfer_bytes,
            option.key,
        )
    )
    free = {engine.name: blocks for engine, blocks in targets}
    chosen = []
    for option in candidates:
        blocks = option.transfer_bytes // costs.bytes_per_block
        if option.transfer_bytes <= budget_bytes and blocks <= free[option.target]:
            chosen.append(option)
            budget_bytes -= option.transfer_bytes
            free[option.target] -= blocks
    return chosen


def _best_transfer(source, targets, prefix, costs):
    best = None
    size = prefix.blocks * costs.bytes_per_block
    for engine, free_blocks in targets:
        if engine.model != source.model or free_blocks < prefix.blocks:
            continue
        saved = prefix.uses * prefix.blocks * costs.prefill_ms_per_block
        saved -= _transfer_ms(source, engine, size, costs)
        if size and saved > 0 and (best is None or saved > best.saved_ms):
            best = PrefixTransfer(prefix.key, source.name, engine.name, size, saved)
    return best


def _transfer_ms(source, target, size, costs):
    if source.zone == target.zone:
        return costs.setup_ms + size * MS_PER_S / costs.same_zone_bytes_per_second
    transfer = size * MS_PER_S / costs.cross_zone_bytes_per_second
    return costs.setup_ms + transfer * costs.cross_zone_factor
