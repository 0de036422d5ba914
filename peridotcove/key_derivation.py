"""Keys for different purposes from one shared secret."""

import hashlib
import hmac

LINKS = b"peridotcove links"
TICKETS = b"peridotcove tickets"
CONTINUATIONS = b"peridotcove continuations"


def derive_key(secret, purpose):
    """Return the key for one purpose; it says nothing about the others.

    Parameters
    ----------
    secret : bytes
        Shared secret of the nodes.
    purpose : bytes
        One of the constants of this module.
    """
    return hmac.digest(secret, purpose, hashlib.sha256)
