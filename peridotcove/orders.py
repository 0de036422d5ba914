"""Decides which orders engines get: what to load and which role to take.

What an engine should run is a pure function of one revision of the configuration, and
the fencing number of an order is that revision. Two issuers of one revision give the
same order, and engines that check the number refuse older ones. Engines that ignore it
are read again and again, and a late old order is put right.
"""

from peridotcove.engine_orders import (
    EngineState,
    Phase,
    ReadState,
    SendOrder,
    Watch,
    same_content,
    wanted_order,
)
from peridotcove.models import Configuration
from peridotcove.weight_loading import LoadBudget

WATCH_MS = 5_000
WATCH_FENCED_MS = 30_000
RESTAMP_MS = 60_000
LOADING_MS = 1_000
FIRST_BACKOFF_MS = 1_000
MAX_BACKOFF_MS = 300_000
MAX_TRIES = 12
LATE_MS = 1_000


class OrderIssuer:
    """Orders of one node to the engines whose shards it owns.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    rng : random.Random
        Spreads the reads.

    Attributes
    ----------
    watch_by_engine : dict
        Record of each engine.
    behind : bool
        Whether an engine follows a revision that this node does not know yet.
    """

    def __init__(self, clock, rng):
        self.clock = clock
        self.behind = False
        self.watch_by_engine = {}
        self.budget = LoadBudget(clock)
        self._rng = rng
        self._listed = frozenset()
        self._configuration = Configuration()

    def set_configuration(self, configuration, engines):
        """Take a revision, and the engines that this node is to order.

        Parameters
        ----------
        configuration : Configuration
            The revision in force here.
        engines : iterable of str
            Engines of the shards that this node owns.
        """
        now = self.clock.now()
        self._configuration = configuration
        self.behind = False
        wanted = {name: wanted_order(configuration, name) for name in engines}
        for name in set(self.watch_by_engine) - set(wanted):
            del self.watch_by_engine[name]
        for name, order in wanted.items():
            if order is None:
                self.watch_by_engine.pop(name, None)
                continue
            watch = self.watch_by_engine.setdefault(name, Watch(now))
            if watch.wanted is None or not same_content(watch.wanted, order):
                watch.settled = False
                self._wake(watch)
            watch.wanted = order
        self.budget.set_share(configuration, len(self.watch_by_engine))

    def set_listed(self, names):
        """Take the names that the platform lists as live; read new ones soon.

        Parameters
        ----------
        names : iterable of str
            Names of engines; others are ignored.
        """
        listed = frozenset(names)
        for name in listed - self._listed:
            if name in self.watch_by_engine:
                self._wake(self.watch_by_engine[name])
        self._listed = listed

    def tick(self):
        """Return the reads that are due."""
        now = self.clock.now()
        reads = []
        for name, watch in self.watch_by_engine.items():
            if watch.phase is Phase.WAITING and now >= watch.due:
                watch.phase = Phase.ASKED
                reads.append(ReadState(name))
        return reads

    def handle_state(self, name, state):
        """Take what an engine answered, and return the order that it gets.

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
        watch = self.watch_by_engine.get(name)
        if watch is None:
            return []
        if state is None:
            self._fail(watch)
            return []
        now = self.clock.now()
        watch.state = state
        if state.order.fence > watch.wanted.fence:
            self.behind = True
            self._wait(watch, WATCH_MS)
            return []
        if same_content(state.order, watch.wanted):
            return self._keep(name, watch, now)
        return self._change(name, watch, now)

    def handle_result(self, name, accepted):
        """Take what became of an order.

        Parameters
        ----------
        name : str
            Name of the engine.
        accepted : bool or None
            Whether the engine follows it; None if it did not answer.
        """
        watch = self.watch_by_engine.get(name)
        if watch is None:
            return
        if accepted is None:
            self._fail(watch)
            return
        self.behind = self.behind or not accepted
        self._wait(watch, LOADING_MS << min(watch.tries, 5))

    def may_send(self, item):
        """Return whether an order is still what this node would order now.

        Parameters
        ----------
        item : SendOrder
            The order, right before it is sent.
        """
        watch = self.watch_by_engine.get(item.engine)
        if watch is None or watch.wanted != item.order:
            return False
        return self.clock.now() - item.decided_ms <= LATE_MS

    def parked(self):
        """Return the engines that are no longer asked until they are listed."""
        items = self.watch_by_engine.items()
        return [name for name, watch in items if watch.phase is Phase.PARKED]

    def _keep(self, name, watch, now):
        watch.since, watch.tries = None, 0
        if watch.state.loading:
            self._wait(watch, LOADING_MS)
            return []
        watch.settled = True
        engine = self._configuration.engine_by_name[name]
        old = watch.state.order.fence < watch.wanted.fence
        if engine.checks_fencing and old and self._may_stamp(watch, now):
            return self._order(name, watch, now)
        self._wait(watch, WATCH_FENCED_MS if engine.checks_fencing else WATCH_MS)
        return []

    def _may_stamp(self, watch, now):
        return watch.stamped is None or now - watch.stamped >= RESTAMP_MS

    def _change(self, name, watch, now):
        if watch.since is None:
            watch.since = now
            watch.corrected += watch.settled
        if watch.state.loading and watch.state.order.fence == watch.wanted.fence:
            self._wait(watch, LOADING_MS)
            return []
        if watch.tries >= MAX_TRIES:
            watch.phase = Phase.PARKED
            return []
        size = 0
        if _weights(watch.state.order) != _weights(watch.wanted):
            size = self._configuration.model_by_name[watch.wanted.model].weight_bytes
        if size and not self._has_room(watch.wanted.model, size):
            self._wait(watch, LOADING_MS)
            return []
        watch.tries += 1
        return self._order(name, watch, now)

    def _has_room(self, model, size):
        group = [
            watch
            for watch in self.watch_by_engine.values()
            if watch.wanted.model == model
        ]
        loading = sum(_is_loading(watch) for watch in group)
        return self.budget.take(size, loading, len(group))

    def _order(self, name, watch, now):
        watch.stamped = now
        watch.phase = Phase.ASKED
        watch.state = EngineState(watch.wanted, True)
        return [SendOrder(name, watch.wanted, now)]

    def _fail(self, watch):
        watch.tries += 1
        if watch.tries >= MAX_TRIES:
            watch.phase = Phase.PARKED
            return
        limit = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << watch.tries)
        self._wait(watch, self._rng.randint(limit // 2, limit))

    def _wait(self, watch, ms):
        watch.phase = Phase.WAITING
        watch.due = self.clock.now() + ms

    def _wake(self, watch):
        watch.tries = 0
        if watch.phase is not Phase.ASKED:
            self._wait(watch, 0)


def _weights(order):
    return (order.model, order.version)


def _is_loading(watch):
    return watch.state is not None and watch.state.loading
