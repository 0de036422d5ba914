"""Damps nodes that join and are lost again and again."""

WINDOW_MS = 60_000
FIRST_HOLD_MS = 2_000
MAX_HOLD_MS = 30_000


class FlapDamper:
    """Losses of each node in the last minute.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    """

    def __init__(self, clock):
        self.clock = clock
        self._losses_by_name = {}

    def lose(self, name):
        """Note that a node was lost.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        losses = self._recent(name)
        losses.append(self.clock.now())
        self._losses_by_name[name] = losses

    def hold_ms(self, name):
        """Return for how long in ms a node must be heard before it counts as live.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        repeats = len(self._recent(name)) - 1
        if repeats < 1:
            return 0
        return min(MAX_HOLD_MS, FIRST_HOLD_MS << (repeats - 1))

    def forget(self, name):
        """Drop what is known of a node.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        self._losses_by_name.pop(name, None)

    def _recent(self, name):
        start = self.clock.now() - WINDOW_MS
        return [at for at in self._losses_by_name.get(name, ()) if at > start]
