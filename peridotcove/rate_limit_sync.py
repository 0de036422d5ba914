"""Exchanges reports and shares of customers' request rates between nodes."""

from peridotcove.exceptions import LinkDown
from peridotcove.nodes.rate_limit_messages import ReportUsage, ShareRates
from peridotcove.rendezvous import rank

MILLI_PER_UNIT = 1000


class RateLimitSync:
    """Sends reports as an entry node, and answers with shares as a home node.

    Parameters
    ----------
    node : str
        Name of this node.
    fleet : FleetView
        The node's view of the fleet.
    network : Network
        Links to the other nodes.
    entry_limiter : EntryRateLimiter
        Rate limits of this node as an entry.
    home_limiter : HomeRateLimiter
        Rate limits of the customers whose home is this node.
    """

    def __init__(self, node, fleet, network, entry_limiter, home_limiter):
        self._node = node
        self._fleet = fleet
        self._network = network
        self._entry_limiter = entry_limiter
        self._home_limiter = home_limiter

    def tick(self, urgent_only=False):
        """Report each customer's rate to its home; called every `REPORT_INTERVAL_MS`.

        Parameters
        ----------
        urgent_only : bool
            Whether to report only urgent customers.
        """
        self._home_limiter.tick()
        self._entry_limiter.entry_count = max(1, len(self._fleet.nodes))
        rates_by_home = {}
        weight_by_node = {item.name: 1.0 for item in self._fleet.nodes}
        for customer, rate in self._entry_limiter.collect_report(urgent_only).items():
            homes = rank(customer, weight_by_node)
            if homes:
                milli = round(rate * MILLI_PER_UNIT)
                rates_by_home.setdefault(homes[0], {})[customer] = milli
        for home, rates in rates_by_home.items():
            self._send(home, ReportUsage(rates))

    def handle_message(self, peer, message):
        """Handle a report of an entry, or the shares that a home assigned.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : ReportUsage or ShareRates
            The message.
        """
        if isinstance(message, ShareRates):
            for customer, milli in message.rates.items():
                self._entry_limiter.set_share(customer, milli / MILLI_PER_UNIT)
            return
        rates = {}
        for name, milli in message.rates.items():
            customer = self._fleet.configuration.customer_by_name.get(name)
            if customer is None:
                continue
            share = self._home_limiter.record_report(
                peer, customer, milli / MILLI_PER_UNIT
            )
            if share is not None:
                rates[name] = int(share * MILLI_PER_UNIT)
        if rates:
            self._send(peer, ShareRates(rates))

    def _send(self, peer, message):
        if peer == self._node:
            self.handle_message(peer, message)
            return
        try:
            self._network.send(peer, message)
        except LinkDown:
            return
