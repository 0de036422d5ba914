"""Limits the loading of weights, for the weight store's rate and serving capacity.

Each node may use a share of the weight store's rate in proportion to its share of all
engines. Unused rate does not accumulate while nothing is loaded, so all nodes together
stay within the rate without coordination.
"""

from peridotcove.clock import MS_PER_S
from peridotcove.models import LifecycleStatus

MAX_LOADING_SHARE = 0.25
MAX_ACCRUAL_MS = 5_000


class WeightLoadBudget:
    """A node's share of the weight store's rate, as a token bucket of bytes.

    Parameters
    ----------
    clock : Clock
        Time in ms.

    Attributes
    ----------
    bytes_per_ms : float
        Rate of this node's share.
    """

    def __init__(self, clock):
        self.clock = clock
        self.bytes_per_ms = 0.0
        self._available_bytes = 0.0
        self._max_bytes = 0
        self._accrued_ms = None

    def set_share(self, configuration, engines):
        """Set the node's share from a revision.

        Parameters
        ----------
        configuration : Configuration
            The revision.
        engines : int
            Number of engines to which this node sends orders.
        """
        described = configuration.engine_by_name.values()
        total = sum(item.status is LifecycleStatus.IN_SERVICE for item in described)
        rate = configuration.bounds.weight_store_bytes_per_second / MS_PER_S
        self.bytes_per_ms = rate * engines / max(total, 1)
        sizes = [item.weight_bytes for item in configuration.model_by_name.values()]
        self._max_bytes = max(sizes, default=0)

    def reserve(self, size, loading, engines):
        """Return whether one more engine may load now; if so, deduct its bytes.

        Parameters
        ----------
        size : int
            Bytes to load.
        loading, engines : int
            Number of engines of the model that are loading, and of all its engines.
        """
        self._accrue()
        if loading >= max(1, int(MAX_LOADING_SHARE * engines)):
            return False
        if self._available_bytes < size:
            return False
        self._available_bytes -= size
        return True

    def _accrue(self):
        now = self.clock.now()
        if self._accrued_ms is None or now - self._accrued_ms > MAX_ACCRUAL_MS:
            self._available_bytes = 0.0
        else:
            earned = (now - self._accrued_ms) * self.bytes_per_ms
            self._available_bytes = min(self._max_bytes, self._available_bytes + earned)
        self._accrued_ms = now
