"""Messages about endpoints that are leaving."""

from attrs import field, frozen

from peridotcove.nodes.messages import message


@message(35)
@frozen
class AskLeaving:
    """Requests the names of leaving endpoints, sent by a node after a pause.

    Attributes
    ----------
    asked_ms : int
        Time in ms on the sender's clock.
    """

    asked_ms: int


@message(36)
@frozen
class EndpointsLeaving:
    """Lists the engines and endpoints that are leaving.

    Attributes
    ----------
    names : list
        Names of the engines and endpoints.
    asked_ms : int
        Copied from the `AskLeaving` that this answers; -1 if it was not requested.
    incarnations : list
        Incarnation of each engine, if the engines have said themselves that they leave;
        else empty.
    cold : list
        Engines that have said that they are cold: lists of name, incarnation and time
        left in ms.
    """

    names: list
    asked_ms: int = -1
    incarnations: list = field(factory=list)
    cold: list = field(factory=list)
