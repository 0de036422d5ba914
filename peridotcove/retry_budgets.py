"""Retry budgets of one node, one for each service, below a bound of the whole fleet.

The bound of the fleet is a share of a service's requests plus a fixed number in any
time window. Nodes share no state: each node divides the fixed number by the count of
nodes and accumulates at most this part, so that the retries of all nodes together stay
below the bound. Requests that fail at random, or all at once when a server crashes, are
retried as far as the bound allows. A service that fails all requests gets no more load.
"""

from peridotcove.retries import RetryBudget

# Share of the fleet's bound that the nodes use together. The rest is reserved for nodes
# that restart with an initial balance, and for traffic that moves between nodes.
USABLE_SHARE = 0.8
# Initial balance of a node, as a share of its maximum. If all nodes restart together,
# the retries before the restart plus the initial balances stay below the bound.
INITIAL_SHARE = 0.25
# A retry costs 1, so that a lower maximum would allow no retry.
MIN_BALANCE = 1.0


class RetryBudgets:
    """Retry budgets of one node, by service.

    Parameters
    ----------
    share : float
        Retries that the fleet may make for each request to a service.
    extra : float
        Further retries that the fleet may make to a service in one time window.
    """

    def __init__(self, share, extra):
        self._share = share * USABLE_SHARE
        self._extra = extra * USABLE_SHARE
        self._budget_by_model = {}
        self.set_node_count(1)

    def set_node_count(self, count):
        """Set the number of nodes of the fleet, including unreachable ones.

        Parameters
        ----------
        count : int
            Number of nodes, including this one; at least 1.
        """
        self._max_balance = max(MIN_BALANCE, self._extra / count)
        for budget in self._budget_by_model.values():
            budget.max_balance = self._max_balance
            budget.balance = min(budget.balance, self._max_balance)

    def get(self, model):
        """Return the `RetryBudget` of a service; create it on first use.

        Parameters
        ----------
        model : str
            Name of the service.
        """
        budget = self._budget_by_model.get(model)
        if budget is None:
            budget = RetryBudget(self._share, self._max_balance)
            budget.balance = max(MIN_BALANCE, self._max_balance * INITIAL_SHARE)
            self._budget_by_model[model] = budget
        return budget
