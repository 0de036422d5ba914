"""Rate limit messages between entry nodes and the home nodes of customers."""

from attrs import frozen

from peridotcove.nodes.messages import message


@message(40)
@frozen
class ReportUsage:
    """Reports the request rates that callers offer to an entry node.

    Attributes
    ----------
    rates : dict
        Thousandths of a request per second by customer name, for customers whose home
        node is the receiver.
    """

    rates: dict


@message(41)
@frozen
class ShareRates:
    """Assigns an entry node its share of the rates of customers over their limit.

    Attributes
    ----------
    rates : dict
        Thousandths of a request per second that the receiver may admit, by customer
        name.
    """

    rates: dict
