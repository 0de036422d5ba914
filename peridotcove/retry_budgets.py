"""A node's part of the retries that a whole fleet may make, for each service.

The fleet's bound is a share of a service's requests and some more in any window. Nodes
share no state for it: each saves up at most its part of the surplus, so that whatever
they spend at once stays below the bound. A service that fails a share of its requests
at random, or all at once as a server crashes, is answered by retries as far as the
bound allows; one that fails altogether is not pressed further.
"""

from peridotcove.retries import RetryBudget

# Share of the fleet's bound that the nodes use together. The rest is for nodes that
# start anew with a part of their own, and for traffic that moves between nodes.
USED_SHARE = 0.8
# Share of its part that a node starts with: what all nodes spent before they were
# restarted together, and what they start with, stay below the bound.
START_SHARE = 0.25
# A retry takes one unit, so that a smaller balance would never allow any.
LEAST_BALANCE = 1.0


class RetryBudgets:
    """Retries that one node may make.

    Parameters
    ----------
    share : float
        Retries allowed for each request to a service, over all nodes.
    extra : float
        Retries allowed beside these in one window, over all nodes.
    """

    def __init__(self, share, extra):
        self._share = share * USED_SHARE
        self._extra = extra * USED_SHARE
        self._budget_by_model = {}
        self.set_node_count(1)

    def set_node_count(self, count):
        """Set how many nodes the fleet has, those out of reach included.

        Parameters
        ----------
        count : int
            How many, this one included; at least 1.
        """
        self._most = max(LEAST_BALANCE, self._extra / count)
        for budget in self._budget_by_model.values():
            budget.most = self._most
            budget.balance = min(budget.balance, self._most)

    def get(self, model):
        """Return the `RetryBudget` of a service.

        Parameters
        ----------
        model : str
            Name of the service.
        """
        budget = self._budget_by_model.get(model)
        if budget is None:
            budget = RetryBudget(self._share, self._most)
            budget.balance = max(LEAST_BALANCE, self._most * START_SHARE)
            self._budget_by_model[model] = budget
        return budget
