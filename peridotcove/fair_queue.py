"""Queue of requests by priority, weighted fair by customer, with deadlines.

Within a priority the queue uses start-time fair queuing: each customer has a virtual
start time that grows by the inverse of its weight with each dequeued request. One
request in `TURNS_PER_LOWER_PRIORITY` is of a lower priority, to prevent starvation.
"""

import heapq
from collections import deque

from attrs import define, field, frozen

TURNS_PER_LOWER_PRIORITY = 8


@frozen
class QueuedRequest:
    """A request in the queue.

    Attributes
    ----------
    request : LeaseRequest
        The request.
    arrived_ms : int
        Monotonic time in ms at which it arrived.
    expires_ms : int
        Monotonic time in ms from which it is refused.
    """

    request: object
    arrived_ms: int
    expires_ms: int


@define
class _CustomerQueue:
    weight: float
    ids: deque = field(factory=deque)


class _PriorityClass:
    """Waiting requests of one priority, by customer."""

    def __init__(self):
        self.queue_by_customer = {}
        self.weight = 0.0
        self.count = 0
        self._heap = []
        self._finish_by_customer = {}
        self._virtual_time = 0.0
        self._sequence = 0

    def push(self, customer, weight, request_id):
        customer_queue = self.queue_by_customer.get(customer)
        if customer_queue is None:
            customer_queue = self.queue_by_customer[customer] = _CustomerQueue(weight)
            self.weight += weight
            self._schedule(customer, self._finish_by_customer.get(customer, 0.0))
        customer_queue.ids.append(request_id)
        self.count += 1

    def _schedule(self, customer, start):
        self._sequence += 1
        entry = (max(start, self._virtual_time), self._sequence, customer)
        heapq.heappush(self._heap, entry)

    def pop(self, eligible):
        """Remove and return the next request id of an eligible customer, or None."""
        ineligible = []
        found = None
        while self._heap and found is None:
            entry = heapq.heappop(self._heap)
            start, _, customer = entry
            if customer not in self.queue_by_customer:
                continue
            if eligible(customer):
                found = self._pop_first(customer, start)
            else:
                ineligible.append(entry)
        for entry in ineligible:
            heapq.heappush(self._heap, entry)
        return found

    def _pop_first(self, customer, start):
        customer_queue = self.queue_by_customer[customer]
        self._virtual_time = start
        finish = start + 1.0 / customer_queue.weight
        request_id = customer_queue.ids.popleft()
        self.count -= 1
        self._finish_by_customer[customer] = finish
        if customer_queue.ids:
            self._schedule(customer, finish)
        else:
            self._remove_customer(customer)
        if len(self._finish_by_customer) > 2 * len(self.queue_by_customer) + 64:
            self._drop_past_finishes()
        return request_id

    def remove(self, customer, request_id):
        customer_queue = self.queue_by_customer[customer]
        customer_queue.ids.remove(request_id)
        self.count -= 1
        if not customer_queue.ids:
            self._remove_customer(customer)
            self._heap = [item for item in self._heap if item[2] != customer]
            heapq.heapify(self._heap)

    def _remove_customer(self, customer):
        self.weight -= self.queue_by_customer.pop(customer).weight

    def _drop_past_finishes(self):
        items = self._finish_by_customer.items()
        self._finish_by_customer = {k: v for k, v in items if v > self._virtual_time}


class FairQueue:
    """Requests that wait for a slot on an engine."""

    def __init__(self):
        self._waiting_by_id = {}
        self._class_by_priority = {}
        self._expiry_heap = []
        self._highest_priority_turns = 0

    def __len__(self):
        return len(self._waiting_by_id)

    def __contains__(self, request_id):
        return request_id in self._waiting_by_id

    def push(self, item, weight):
        """Add a request.

        Parameters
        ----------
        item : QueuedRequest
            The request; its id is not in the queue yet.
        weight : float
            Weight of its customer; above 0.
        """
        request = item.request
        self._waiting_by_id[request.request_id] = item
        heapq.heappush(self._expiry_heap, (item.expires_ms, request.request_id))
        priority_class = self._class_by_priority.get(request.priority)
        if priority_class is None:
            priority_class = self._class_by_priority[request.priority] = (
                _PriorityClass()
            )
        priority_class.push(request.customer, weight, request.request_id)

    def pop(self, eligible):
        """Remove and return the next request, or None.

        Parameters
        ----------
        eligible : callable
            Called with the name of a customer; returns whether its next request may be
            dequeued now.
        """
        busy = [p for p in sorted(self._class_by_priority) if self._has_requests(p)]
        if (
            len(busy) > 1
            and self._highest_priority_turns >= TURNS_PER_LOWER_PRIORITY - 1
        ):
            busy = [*sorted(busy[1:], key=self._oldest_arrival_ms), busy[0]]
        for priority in busy:
            request_id = self._class_by_priority[priority].pop(eligible)
            if request_id is not None:
                self._highest_priority_turns = (
                    self._highest_priority_turns + 1 if priority == min(busy) else 0
                )
                return self._waiting_by_id.pop(request_id)
        return None

    def _has_requests(self, priority):
        return bool(self._class_by_priority[priority].queue_by_customer)

    def _oldest_arrival_ms(self, priority):
        customer_queues = self._class_by_priority[priority].queue_by_customer.values()
        return min(
            self._waiting_by_id[customer_queue.ids[0]].arrived_ms
            for customer_queue in customer_queues
        )

    def remove(self, request_id):
        """Remove and return a request.

        Parameters
        ----------
        request_id : bytes
            Id of a request in the queue.
        """
        item = self._waiting_by_id.pop(request_id)
        priority_class = self._class_by_priority[item.request.priority]
        priority_class.remove(item.request.customer, request_id)
        return item

    def expire(self, now_ms):
        """Remove and return the requests whose deadline has passed.

        Parameters
        ----------
        now_ms : int
            Monotonic time in ms.
        """
        expired = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._expiry_heap)
            item = self._waiting_by_id.get(request_id)
            if item is not None and item.expires_ms <= now_ms:
                expired.append(self.remove(request_id))
        return expired

    def items(self):
        """Return the waiting requests in arbitrary order."""
        return list(self._waiting_by_id.values())

    def count_above(self, priority):
        """Return the number of waiting requests that are more urgent.

        Parameters
        ----------
        priority : int
            Priority class.
        """
        return sum(
            priority_class.count
            for level, priority_class in self._class_by_priority.items()
            if level < priority
        )

    def count_until(self, customer, priority, place):
        """Return how many requests of a class are dequeued up to one of a customer.

        Parameters
        ----------
        customer : str
            Name of the customer.
        priority : int
            Priority class of the request.
        place : int
            Place of the request among those of its customer in the class, from 1.
        """
        customer_queues = self._class_by_priority[priority].queue_by_customer
        turns = place / customer_queues[customer].weight
        return sum(
            min(len(other.ids), turns * other.weight)
            for other in customer_queues.values()
        )

    def list_by_customer(self):
        """Return the waiting requests of each customer in each class.

        Returns
        -------
        list of tuple
            Names of customers, and lists of `QueuedRequest` in their order.
        """
        waiting = self._waiting_by_id
        return [
            (customer, [waiting[request_id] for request_id in customer_queue.ids])
            for priority in sorted(self._class_by_priority)
            for customer, customer_queue in self._class_by_priority[
                priority
            ].queue_by_customer.items()
        ]

    def count_customer(self, customer, priority):
        """Return the number of waiting requests of a customer in a class.

        Parameters
        ----------
        customer : str
            Name of the customer.
        priority : int
            Priority class.
        """
        customer_queues = self._class_by_priority[priority].queue_by_customer
        return len(customer_queues[customer].ids)

    def share(self, customer, weight, priority):
        """Return a customer's count of waiting requests and share of slots, 0 to 1.

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
        for level, priority_class in self._class_by_priority.items():
            if level <= priority:
                total += priority_class.weight
        priority_class = self._class_by_priority.get(priority)
        customer_queue = (
            priority_class.queue_by_customer.get(customer) if priority_class else None
        )
        if customer_queue is not None:
            waiting = len(customer_queue.ids)
            total -= weight
        return waiting, weight / total
