"""Derivation of keys for different purposes from the shared secret."""

import hashlib
import hmac

LINK_PURPOSE = b"peridotcove links"
TICKET_PURPOSE = b"peridotcove tickets"
CONTINUATION_PURPOSE = b"peridotcove continuations"


def derive_key(secret, purpose):
    """Return the key for one purpose; other keys can't be computed from it.

    Parameters
    ----------
    secret : bytes
        Shared secret of the nodes.
    purpose : bytes
        Purpose of the key, one of the ``_PURPOSE`` constants of this module.
    """
    return hmac.digest(secret, purpose, hashlib.sha256)
