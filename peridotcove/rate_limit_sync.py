"""Carries reports and shares of customers' rates between entries and homes."""

from peridotcove.exceptions import LinkDown
from peridotcove.nodes.limit_messages import ReportUsage, ShareRates
from peridotcove.rendezvous import rank

MILLI = 1000


class RateLimitSync:
    """One node's reports as an entry and answers as a home.

    Parameters
    ----------
    node : str
        Name of this node.
    fleet : Fleet
        The node's view.
    network : Network
        Links to the other nodes.
    entry_limiter : EntryLimits
        Limits at this entry.
    home_limiter : HomeLimits
        Limits of customers whose home this is.
    """

    def __init__(self, node, fleet, network, entry_limiter, home_limiter):
        self._node = node
        self._fleet = fleet
        self._network = network
        self._entry = entry_limiter
        self._home = home_limiter

    def tick(self, urgent_only=False):
        """Report to each customer's home; called each `REPORT_INTERVAL_MS`.

        Parameters
        ----------
        urgent_only : bool
            Whether to report only customers that can't wait.
        """
        self._home.tick()
        self._entry.entries = max(1, len(self._fleet.nodes))
        rates_by_home = {}
        weight_by_node = {item.name: 1.0 for item in self._fleet.nodes}
        for customer, rate in self._entry.report(urgent_only).items():
            homes = rank(customer, weight_by_node)
            if homes:
                milli = round(rate * MILLI)
                rates_by_home.setdefault(homes[0], {})[customer] = milli
        for home, rates in rates_by_home.items():
            self._send(home, ReportUsage(rates))

    def handle_message(self, peer, message):
        """Take a report or a share.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : ReportUsage or ShareRates
            The message.
        """
        if isinstance(message, ShareRates):
            for customer, milli in message.rates.items():
                self._entry.set_share(customer, milli / MILLI)
            return
        rates = {}
        for name, milli in message.rates.items():
            customer = self._fleet.configuration.customer_by_name.get(name)
            if customer is None:
                continue
            share = self._home.record_report(peer, customer, milli / MILLI)
            if share is not None:
                rates[name] = int(share * MILLI)
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
