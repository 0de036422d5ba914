"""Orders to engines, what engines say of them, and what an engine should run."""

import enum

from attrs import define, frozen

from peridotcove.models import LifecycleStatus


@frozen
class Order:
    """What an engine is told to run.

    Attributes
    ----------
    fence : int
        Fencing number; grows with the revision.
    model, version : str
        Model and version of its weights.
    adapters : tuple of str
        Adapters to load.
    role : str
        Role to take.
    """

    fence: int
    model: str
    version: str
    adapters: tuple
    role: str


@frozen
class EngineState:
    """What an engine says that it runs.

    Attributes
    ----------
    order : Order
        What it runs, and the number of the last order it followed.
    loading : bool
        Whether weights are still on their way.
    """

    order: Order
    loading: bool = False


@frozen
class ReadState:
    """Read the state of an engine; `OrderIssuer.handle_state` follows.

    Attributes
    ----------
    engine : str
        Name of the engine.
    """

    engine: str


@frozen
class SendOrder:
    """Send an order to an engine; `OrderIssuer.handle_result` follows.

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
    """What an issuer does about one engine."""

    WAITING = "waiting"
    ASKED = "asked"
    PARKED = "parked"


@define
class Watch:
    """An issuer's record of one engine.

    Attributes
    ----------
    phase : Phase
        What is done about it.
    due : int
        Time in ms of the next read.
    tries : int
        Reads that failed, and orders without effect, since it last ran what it should.
    state : EngineState or None
        Last state read.
    stamped : int
        Time in ms of the last order.
    since : int or None
        Time in ms at which it was first read to differ from what it should run.
    settled : bool
        Whether it has run what it should since that last changed.
    corrected : int
        Late orders that were put right.
    wanted : Order or None
        What it should run.
    """

    due: int
    phase: Phase = Phase.WAITING
    tries: int = 0
    state: EngineState | None = None
    stamped: int | None = None
    since: int | None = None
    settled: bool = False
    corrected: int = 0
    wanted: Order | None = None


def wanted_order(configuration, name):
    """Return what an engine should run, or None if it gets no orders.

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


def same_content(one, other):
    """Return whether two orders tell an engine to run the same.

    Parameters
    ----------
    one, other : Order
        The orders; their numbers don't matter.
    """
    return _content(one) == _content(other)


def _content(order):
    return (order.model, order.version, tuple(sorted(order.adapters)), order.role)
