"""Counts the requests of callers that a node has in progress."""


class RequestCounter:
    """Counts requests in progress.

    Attributes
    ----------
    count : int
        Requests that arrived and have not ended.
    """

    def __init__(self):
        self.count = 0

    def begin(self):
        """Count a request that arrived."""
        self.count += 1

    def end(self):
        """Count a request that ended."""
        self.count -= 1
