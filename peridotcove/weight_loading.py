"""Paces the loading of weights, so that store and serving capacity both hold.

Each node may take the part of the weight store's rate that its engines are of all
engines. Nothing is saved up while nothing is to be loaded, so all nodes together stay
within the rate without knowing of each other.
"""

from peridotcove.clock import MS_PER_S
from peridotcove.models import LifecycleStatus

LOADING_SHARE = 0.25
IDLE_MS = 5_000


class LoadBudget:
    """A node's part of the weight store's rate.

    Parameters
    ----------
    clock : Clock
        Time in ms.

    Attributes
    ----------
    bytes_per_ms : float
        This node's part.
    """

    def __init__(self, clock):
        self.clock = clock
        self.bytes_per_ms = 0.0
        self._saved = 0.0
        self._most = 0
        self._asked = None

    def set_share(self, configuration, engines):
        """Set the node's part from a revision.

        Parameters
        ----------
        configuration : Configuration
            The revision.
        engines : int
            Engines that this node orders.
        """
        described = configuration.engine_by_name.values()
        total = sum(item.status is LifecycleStatus.IN_SERVICE for item in described)
        rate = configuration.bounds.weight_store_bytes_per_second / MS_PER_S
        self.bytes_per_ms = rate * engines / max(total, 1)
        sizes = [item.weight_bytes for item in configuration.model_by_name.values()]
        self._most = max(sizes, default=0)

    def take(self, size, loading, engines):
        """Return whether one more engine may load now; if so it counts as begun.

        Parameters
        ----------
        size : int
            Bytes to load.
        loading, engines : int
            Engines of the model that load now, and all of them.
        """
        self._save()
        if loading >= max(1, int(LOADING_SHARE * engines)):
            return False
        if self._saved < size:
            return False
        self._saved -= size
        return True

    def _save(self):
        now = self.clock.now()
        if self._asked is None or now - self._asked > IDLE_MS:
            self._saved = 0.0
        else:
            earned = (now - self._asked) * self.bytes_per_ms
            self._saved = min(self._most, self._saved + earned)
        self._asked = now
