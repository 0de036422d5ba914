"""Decides whether a node reaches engines by itself or through another node.

A node whose link to the engines is cut, while its peers and callers still reach it,
serves its callers through peers that do reach the engines.
"""

# Engines that could not be connected in succession, after which the fault is looked for
# at this node. One engine may have crashed.
CUT_OFF_ENGINES = 2
# Time after a connection to an engine in which another engine that can't be connected
# is taken for the faulty one.
CONNECTED_LATELY_MS = 500
# Time for which a peer that could not help is asked only if no other is left.
AVOID_RELAY_MS = 1_000


def find_address(url):
    """Return the address of an engine, ``HOST:PORT``.

    Parameters
    ----------
    url : str
        URL of the engine; it names a port.
    """
    return url.partition("://")[2].partition("/")[0]


class EnginePaths:
    """What a node knows of its own connections to the engines, and of its peers.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    rng : random.Random
        Spreads requests over peers.
    zone : str
        Availability zone of this node.
    """

    def __init__(self, clock, rng, zone):
        self._clock = clock
        self._rng = rng
        self._zone = zone
        self._unreached_in_a_row = set()
        self._relayed = set()
        self._connected_ms = None
        self._avoided_until_ms_by_peer = {}

    @property
    def is_cut_off(self):
        """Whether this node itself seems to be cut off, not the engines."""
        return len(self._unreached_in_a_row) >= CUT_OFF_ENGINES

    @property
    def has_connected_lately(self):
        """Whether this node has connected to some engine a moment ago."""
        if self._connected_ms is None:
            return False
        return self._clock.now() - self._connected_ms <= CONNECTED_LATELY_MS

    @property
    def uses_relays(self):
        """Whether some engines are reached through peers only."""
        return self.is_cut_off or bool(self._relayed)

    def needs_relay(self, address):
        """Return whether to connect to an engine through a peer.

        Parameters
        ----------
        address : str
            Address of the engine, ``HOST:PORT``.
        """
        return self.is_cut_off or address in self._relayed

    def record_connected(self, address):
        """Record that this node has connected to an engine by itself.

        If a peer was needed to connect to that engine, none may be needed any more.

        Parameters
        ----------
        address : str
            Address of the engine.
        """
        self._connected_ms = self._clock.now()
        self._unreached_in_a_row.clear()
        if address in self._relayed:
            self._relayed.clear()

    def record_unreached(self, address):
        """Record that this node could not connect to an engine.

        Parameters
        ----------
        address : str
            Address of the engine.
        """
        self._unreached_in_a_row.add(address)

    def record_unreached_by_peer(self, address):
        """Record that a peer that is not cut off could not connect to an engine either.

        Parameters
        ----------
        address : str
            Address of the engine.
        """
        self._unreached_in_a_row.discard(address)
        self._relayed.discard(address)

    def record_relayed(self, address):
        """Record that a peer has connected to an engine that this node can't reach.

        Parameters
        ----------
        address : str
            Address of the engine.
        """
        self._relayed.add(address)

    def choose_probe(self, addresses):
        """Return the engine to which this node tries to connect next, or None.

        Parameters
        ----------
        addresses : list of str
            Addresses of the engines in service.
        """
        self._relayed.intersection_update(addresses)
        candidates = sorted(self._relayed) or addresses
        return self._rng.choice(candidates) if candidates else None

    def record_relay_failure(self, peer):
        """Record that a peer could not connect to an engine either.

        Parameters
        ----------
        peer : str
            Name of the peer.
        """
        self._avoided_until_ms_by_peer[peer] = self._clock.now() + AVOID_RELAY_MS

    def rank_relays(self, instances):
        """Return the peers through which to connect, in the order of attempts.

        Nodes of this zone come first: the connection crosses zones once, as its own
        would. Among them, powerful nodes are chosen more often.

        Parameters
        ----------
        instances : iterable of Instance
            The other live nodes.

        Returns
        -------
        list of Instance
        """
        now = self._clock.now()
        self._avoided_until_ms_by_peer = {
            peer: until_ms
            for peer, until_ms in self._avoided_until_ms_by_peer.items()
            if now < until_ms
        }
        return sorted(
            instances,
            key=lambda one: (
                one.name in self._avoided_until_ms_by_peer,
                one.zone != self._zone,
                self._rng.expovariate(max(one.power, 0.1)),
            ),
        )
