"""Orders to engines, the state that engines report, and what an engine should run."""

import enum

from attrs import define, frozen

from peridotcove.models import LifecycleStatus


@frozen
class Order:
    """What an engine is ordered to run.

    Attributes
    ----------
    fence : int
        Fencing number: the revision of the configuration.
    model, version : str
        Model and version of its weights.
    adapters : tuple of str
        Adapters to load.
    role : str
        Role of the engine.
    """

    fence: int
    model: str
    version: str
    adapters: tuple
    role: str


@frozen
class EngineState:
    """What an engine reports that it runs.

    Attributes
    ----------
    order : Order
        What it runs, with the fencing number of the last order that it accepted.
    loading : bool
        Whether weights are still being loaded.
    """

    order: Order
    loading: bool = False


@frozen
class ReadState:
    """A read of an engine's state; the result goes to `OrderIssuer.handle_state`.

    Attributes
    ----------
    engine : str
        Name of the engine.
    """

    engine: str


@frozen
class SendOrder:
    """An order to send; the result goes to `OrderIssuer.handle_result`.

    Attributes
    ----------
    engine : str
        Name of the engine.
    order : Order
        The order.
    decided_ms : int
        Time in ms of the decision.
    """

    engine: str
    order: Order
    decided_ms: int


class Phase(enum.Enum):
    """Step of an issuer's work on one engine."""

    WAITING = "waiting"
    ASKED = "asked"
    PARKED = "parked"


@define
class EngineRecord:
    """An issuer's record of one engine.

    Attributes
    ----------
    phase : Phase
        Current step of the issuer's work on it.
    due_ms : int
        Time in ms of the next read.
    attempts : int
        Failed reads and orders without effect since it last ran what it should.
    state : EngineState or None
        Last state read.
    ordered_ms : int or None
        Time in ms of the last order; None if it was sent none.
    differs_since_ms : int or None
        Time in ms at which it was first found to run something else than it should;
        None if it runs what it should.
    converged : bool
        Whether it has run what it should since that changed last.
    corrections : int
        Number of times that it left the wanted state, by an outdated order that arrived
        late, and was corrected.
    wanted : Order or None
        What it should run.
    """

    due_ms: int
    phase: Phase = Phase.WAITING
    attempts: int = 0
    state: EngineState | None = None
    ordered_ms: int | None = None
    differs_since_ms: int | None = None
    converged: bool = False
    corrections: int = 0
    wanted: Order | None = None


def wanted_order(configuration, name):
    """Return what an engine should run, or None if it receives no orders.

    Parameters
    ----------
    configuration : Configuration
        A revision.
    name : str
        Name of the engine.
    """
    engine = configuration.engine_by_name.get(name)
    if engine is None or engine.status is not LifecycleStatus.IN_SERVICE:
        return None
    model = configuration.model_by_name.get(engine.model)
    if model is None:
        return None
    return Order(
        configuration.revision,
        model.name,
        model.version,
        tuple(sorted(model.adapters)),
        engine.role,
    )


def has_same_content(one, other):
    """Return whether two orders are equal except for their fencing numbers.

    Parameters
    ----------
    one, other : Order
        The orders to compare.
    """
    return _content(one) == _content(other)


def _content(order):
    return (order.model, order.version, tuple(sorted(order.adapters)), order.role)
