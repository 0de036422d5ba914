"""Queue of requests: by priority, then weighted fair by customer, with deadlines.

Within a priority it is start-time fair queuing: each customer has a virtual start time
that grows by the inverse of its weight with each request taken. One request in
`TURNS_PER_LOWER` comes from a lower priority, so that none waits for ever.
"""

import heapq
from collections import deque

from attrs import define, field, frozen

TURNS_PER_LOWER = 8


@frozen
class Waiting:
    """A request in the queue.

    Attributes
    ----------
    request : LeaseRequest
        What was asked.
    arrived_ms : int
        Monotonic time in ms at which it came.
    expires_ms : int
        Monotonic time in ms at which it is to be refused.
    """

    request: object
    arrived_ms: int
    expires_ms: int


@define
class _Line:
    weight: float
    ids: deque = field(factory=deque)


class _Class:
    """Customers of one priority with requests waiting."""

    def __init__(self):
        self.line_by_customer = {}
        self.weight = 0.0
        self._heap = []
        self._finish_by_customer = {}
        self._now = 0.0
        self._count = 0

    def push(self, customer, weight, request_id):
        line = self.line_by_customer.get(customer)
        if line is None:
            line = self.line_by_customer[customer] = _Line(weight)
            self.weight += weight
            self._enter(customer, self._finish_by_customer.get(customer, 0.0))
        line.ids.append(request_id)

    def _enter(self, customer, start):
        self._count += 1
        entry = (max(start, self._now), self._count, customer)
        heapq.heappush(self._heap, entry)

    def pop(self, eligible):
        """Return the next request id of an eligible customer, or None."""
        passed = []
        found = None
        while self._heap and found is None:
            entry = heapq.heappop(self._heap)
            start, _, customer = entry
            if customer not in self.line_by_customer:
                continue
            if eligible(customer):
                found = self._take(customer, start)
            else:
                passed.append(entry)
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return found

    def _take(self, customer, start):
        line = self.line_by_customer[customer]
        self._now = start
        finish = start + 1.0 / line.weight
        request_id = line.ids.popleft()
        self._finish_by_customer[customer] = finish
        if line.ids:
            self._enter(customer, finish)
        else:
            self._leave(customer)
        if len(self._finish_by_customer) > 2 * len(self.line_by_customer) + 64:
            self._forget()
        return request_id

    def remove(self, customer, request_id):
        line = self.line_by_customer[customer]
        line.ids.remove(request_id)
        if not line.ids:
            self._leave(customer)
            self._heap = [item for item in self._heap if item[2] != customer]
            heapq.heapify(self._heap)

    def _leave(self, customer):
        self.weight -= self.line_by_customer.pop(customer).weight

    def _forget(self):
        items = self._finish_by_customer.items()
        self._finish_by_customer = {k: v for k, v in items if v > self._now}


class FairQueue:
    """Requests that wait for a place at an engine."""

    def __init__(self):
        self._waiting_by_id = {}
        self._class_by_priority = {}
        self._expiry = []
        self._turns = 0

    def __len__(self):
        return len(self._waiting_by_id)

    def __contains__(self, request_id):
        return request_id in self._waiting_by_id

    def push(self, item, weight):
        """Add a request.

        Parameters
        ----------
        item : Waiting
            The request; its id is not in the queue yet.
        weight : float
            Share of its customer; above 0.
        """
        request = item.request
        self._waiting_by_id[request.request_id] = item
        heapq.heappush(self._expiry, (item.expires_ms, request.request_id))
        kind = self._class_by_priority.get(request.priority)
        if kind is None:
            kind = self._class_by_priority[request.priority] = _Class()
        kind.push(request.customer, weight, request.request_id)

    def pop(self, eligible):
        """Remove and return the next request, or None.

        Parameters
        ----------
        eligible : callable
            Takes a customer's name; whether its next request may go now.
        """
        busy = [p for p in sorted(self._class_by_priority) if self._busy(p)]
        if len(busy) > 1 and self._turns >= TURNS_PER_LOWER - 1:
            busy = [*sorted(busy[1:], key=self._oldest), busy[0]]
        for priority in busy:
            request_id = self._class_by_priority[priority].pop(eligible)
            if request_id is not None:
                self._turns = self._turns + 1 if priority == min(busy) else 0
                return self._waiting_by_id.pop(request_id)
        return None

    def _busy(self, priority):
        return bool(self._class_by_priority[priority].line_by_customer)

    def _oldest(self, priority):
        lines = self._class_by_priority[priority].line_by_customer.values()
        return min(self._waiting_by_id[line.ids[0]].arrived_ms for line in lines)

    def remove(self, request_id):
        """Remove and return a request.

        Parameters
        ----------
        request_id : bytes
            Id of a request in the queue.
        """
        item = self._waiting_by_id.pop(request_id)
        kind = self._class_by_priority[item.request.priority]
        kind.remove(item.request.customer, request_id)
        return item

    def expire(self, now_ms):
        """Remove and return the requests whose time is over.

        Parameters
        ----------
        now_ms : int
            Monotonic time in ms.
        """
        late = []
        while self._expiry and self._expiry[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._expiry)
            item = self._waiting_by_id.get(request_id)
            if item is not None and item.expires_ms <= now_ms:
                late.append(self.remove(request_id))
        return late

    def items(self):
        """Return the requests that wait, in no set order."""
        return list(self._waiting_by_id.values())

    def share(self, customer, weight, priority):
        """Return the requests of a customer that wait and its share of places, 0 to 1.

        Parameters
        ----------
        customer : str
            Name of the customer.
        weight : float
            Its weight.
        priority : int
            Priority of its next request.
        """
        total = weight
        waiting = 0
        for level, kind in self._class_by_priority.items():
            if level <= priority:
                total += kind.weight
        kind = self._class_by_priority.get(priority)
        line = kind.line_by_customer.get(customer) if kind else None
        if line is not None:
            waiting = len(line.ids)
            total -= weight
        return waiting, weight / total
