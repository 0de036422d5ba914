"""Messages between the entries and the homes of customers."""

from attrs import frozen

from peridotcove.nodes.messages import message


@message(40)
@frozen
class ReportUsage:
    """What callers ask of an entry.

    Attributes
    ----------
    rates : dict
        Thousandths of a request per second by customer name, for customers whose home
        is the receiver.
    """

    rates: dict


@message(41)
@frozen
class ShareRates:
    """A home divides the rates of customers that are over them.

    Attributes
    ----------
    rates : dict
        Thousandths of a request per second by customer name, for the receiver.
    """

    rates: dict
