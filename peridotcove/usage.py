"""Carries reports and shares of customers' rates between entries and homes."""

from peridotcove.exceptions import LinkDown
from peridotcove.nodes.limit_messages import ReportUsage, ShareRates
from peridotcove.ranking import rank

MILLI = 1000


class Usage:
    """One node's reports as an entry and answers as a home.

    Parameters
    ----------
    node : str
        Name of this node.
    fleet : Fleet
        The node's view.
    network : Network
        Links to the other nodes.
    entry_limits : EntryLimits
        Limits at this entry.
    home_limits : HomeLimits
        Limits of customers whose home this is.
    """

    def __init__(self, node, fleet, network, entry_limits, home_limits):
        self._node = node
        self._fleet = fleet
        self._network = network
        self._entry = entry_limits
        self._home = home_limits

    def tick(self):
        """Report to each customer's home; called each `REPORT_MS`."""
        self._home.tick()
        offered_by_home = {}
        weight_by_node = {item.name: 1.0 for item in self._fleet.nodes}
        for customer, offered in self._entry.report().items():
            homes = rank(customer, weight_by_node)
            if homes:
                offered_by_home.setdefault(homes[0], {})[customer] = offered
        for home, offered in offered_by_home.items():
            self._send(home, ReportUsage(offered))

    def receive(self, peer, message):
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
        for name, offered in message.offered.items():
            customer = self._fleet.configuration.customer_by_name.get(name)
            if customer is None:
                continue
            share = self._home.receive(peer, customer, offered)
            if share is not None:
                rates[name] = int(share * MILLI)
        if rates:
            self._send(peer, ShareRates(rates))

    def _send(self, peer, message):
        if peer == self._node:
            self.receive(peer, message)
            return
        try:
            self._network.send(peer, message)
        except LinkDown:
            return
