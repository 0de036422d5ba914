"""Flap damping: delays the return of nodes that are lost repeatedly."""

# Time for which a loss counts.
LOSS_WINDOW_MS = 60_000
# Hold-down time after the second loss in the window; it doubles with each further one.
MIN_HOLD_DOWN_MS = 2_000
MAX_HOLD_DOWN_MS = 30_000


class FlapDamper:
    """Computes hold-down times from the recent losses of each node.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    """

    def __init__(self, clock):
        self.clock = clock
        self._losses_by_name = {}

    def record_loss(self, name):
        """Record that a node was lost.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        losses = self._recent_losses(name)
        losses.append(self.clock.now())
        self._losses_by_name[name] = losses

    def hold_down_ms(self, name):
        """Return for how long in ms a node must be heard before it counts as live.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        repeats = len(self._recent_losses(name)) - 1
        if repeats < 1:
            return 0
        return min(MAX_HOLD_DOWN_MS, MIN_HOLD_DOWN_MS << (repeats - 1))

    def forget(self, name):
        """Discard the losses of a node.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        self._losses_by_name.pop(name, None)

    def _recent_losses(self, name):
        start_ms = self.clock.now() - LOSS_WINDOW_MS
        return [
            lost_ms
            for lost_ms in self._losses_by_name.get(name, ())
            if lost_ms > start_ms
        ]
