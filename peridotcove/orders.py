"""Decides which orders engines receive: what to load and which role to have.

What an engine should run is a pure function of one revision of the configuration, and
the fencing number of an order is that revision. Two issuers with the same revision send
the same order, and engines that check the fencing number reject older orders. Engines
that ignore it are read periodically, and the effect of an outdated order that arrives
late is corrected.
"""

from peridotcove.engine_orders import (
    EngineRecord,
    EngineState,
    Phase,
    ReadState,
    SendOrder,
    has_same_content,
    wanted_order,
)
from peridotcove.models import Configuration
from peridotcove.weight_loading import WeightLoadBudget

READ_PERIOD_MS = 5_000
FENCED_READ_PERIOD_MS = 30_000
FENCE_UPDATE_PERIOD_MS = 60_000
LOADING_READ_PERIOD_MS = 1_000
FIRST_BACKOFF_MS = 1_000
MAX_BACKOFF_MS = 300_000
MAX_ATTEMPTS = 12
ORDER_VALID_MS = 1_000


class OrderIssuer:
    """Decides on the orders of one node to the engines whose shards it owns.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    rng : random.Random
        Spreads retries of failed reads over time.

    Attributes
    ----------
    record_by_engine : dict
        Record of each engine.
    behind : bool
        Whether an engine has an order of a later revision than this node has in force.
    """

    def __init__(self, clock, rng):
        self.clock = clock
        self.behind = False
        self.record_by_engine = {}
        self.budget = WeightLoadBudget(clock)
        self._rng = rng
        self._listed = frozenset()
        self._configuration = Configuration()

    def set_configuration(self, configuration, engines):
        """Set the revision and the engines to which this node sends orders.

        Parameters
        ----------
        configuration : Configuration
            The revision in force on this node.
        engines : iterable of str
            Engines of the shards that this node owns.
        """
        now = self.clock.now()
        self._configuration = configuration
        self.behind = False
        wanted = {name: wanted_order(configuration, name) for name in engines}
        for name in set(self.record_by_engine) - set(wanted):
            del self.record_by_engine[name]
        for name, order in wanted.items():
            if order is None:
                self.record_by_engine.pop(name, None)
                continue
            record = self.record_by_engine.setdefault(name, EngineRecord(now))
            if record.wanted is None or not has_same_content(record.wanted, order):
                record.converged = False
                self._read_soon(record)
            record.wanted = order
        self.budget.set_share(configuration, len(self.record_by_engine))

    def set_listed(self, names):
        """Set the engines that the platform lists as live; newly listed ones are read.

        Parameters
        ----------
        names : iterable of str
            Names of instances; those that are not this node's engines are ignored.
        """
        listed = frozenset(names)
        for name in listed - self._listed:
            if name in self.record_by_engine:
                self._read_soon(self.record_by_engine[name])
        self._listed = listed

    def tick(self):
        """Return the reads that are due."""
        now = self.clock.now()
        reads = []
        for name, record in self.record_by_engine.items():
            if record.phase is Phase.WAITING and now >= record.due_ms:
                record.phase = Phase.ASKED
                reads.append(ReadState(name))
        return reads

    def handle_state(self, name, state):
        """Handle an engine's state and return the order to send, if any.

        Parameters
        ----------
        name : str
            Name of the engine.
        state : EngineState or None
            Its state; None if it did not answer.

        Returns
        -------
        list of SendOrder
        """
        record = self.record_by_engine.get(name)
        if record is None:
            return []
        if state is None:
            self._record_failure(record)
            return []
        now = self.clock.now()
        record.state = state
        if state.order.fence > record.wanted.fence:
            self.behind = True
            self._schedule_read(record, READ_PERIOD_MS)
            return []
        if has_same_content(state.order, record.wanted):
            return self._handle_match(name, record, now)
        return self._handle_mismatch(name, record, now)

    def handle_result(self, name, accepted):
        """Handle the result of sending an order.

        Parameters
        ----------
        name : str
            Name of the engine.
        accepted : bool or None
            Whether the engine accepted it; None if it did not answer.
        """
        record = self.record_by_engine.get(name)
        if record is None:
            return
        if accepted is None:
            self._record_failure(record)
            return
        self.behind = self.behind or not accepted
        self._schedule_read(record, LOADING_READ_PERIOD_MS << min(record.attempts, 5))

    def may_send(self, item):
        """Return whether an order is recent and still what the engine should run.

        Parameters
        ----------
        item : SendOrder
            The order, immediately before it is sent.
        """
        record = self.record_by_engine.get(item.engine)
        if record is None or record.wanted != item.order:
            return False
        return self.clock.now() - item.decided_ms <= ORDER_VALID_MS

    def parked_engines(self):
        """Return the engines that are not read until the platform lists them again."""
        items = self.record_by_engine.items()
        return [name for name, record in items if record.phase is Phase.PARKED]

    def _handle_match(self, name, record, now):
        record.differs_since_ms, record.attempts = None, 0
        if record.state.loading:
            self._schedule_read(record, LOADING_READ_PERIOD_MS)
            return []
        record.converged = True
        engine = self._configuration.engine_by_name[name]
        old = record.state.order.fence < record.wanted.fence
        if engine.checks_fencing and old and self._may_update_fence(record, now):
            return self._make_order(name, record, now)
        self._schedule_read(
            record, FENCED_READ_PERIOD_MS if engine.checks_fencing else READ_PERIOD_MS
        )
        return []

    def _may_update_fence(self, record, now):
        return (
            record.ordered_ms is None
            or now - record.ordered_ms >= FENCE_UPDATE_PERIOD_MS
        )

    def _handle_mismatch(self, name, record, now):
        if record.differs_since_ms is None:
            record.differs_since_ms = now
            record.corrections += record.converged
        if record.state.loading and record.state.order.fence == record.wanted.fence:
            self._schedule_read(record, LOADING_READ_PERIOD_MS)
            return []
        if record.attempts >= MAX_ATTEMPTS:
            record.phase = Phase.PARKED
            return []
        size = 0
        if _weights(record.state.order) != _weights(record.wanted):
            size = self._configuration.model_by_name[record.wanted.model].weight_bytes
        if size and not self._may_load(record.wanted.model, size):
            self._schedule_read(record, LOADING_READ_PERIOD_MS)
            return []
        record.attempts += 1
        return self._make_order(name, record, now)

    def _may_load(self, model, size):
        group = [
            record
            for record in self.record_by_engine.values()
            if record.wanted.model == model
        ]
        loading = sum(_is_loading(record) for record in group)
        return self.budget.reserve(size, loading, len(group))

    def _make_order(self, name, record, now):
        record.ordered_ms = now
        record.phase = Phase.ASKED
        record.state = EngineState(record.wanted, True)
        return [SendOrder(name, record.wanted, now)]

    def _record_failure(self, record):
        record.attempts += 1
        if record.attempts >= MAX_ATTEMPTS:
            record.phase = Phase.PARKED
            return
        limit = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << record.attempts)
        self._schedule_read(record, self._rng.randint(limit // 2, limit))

    def _schedule_read(self, record, ms):
        record.phase = Phase.WAITING
        record.due_ms = self.clock.now() + ms

    def _read_soon(self, record):
        record.attempts = 0
        if record.phase is not Phase.ASKED:
            self._schedule_read(record, 0)


def _weights(order):
    return (order.model, order.version)


def _is_loading(record):
    return record.state is not None and record.state.loading
