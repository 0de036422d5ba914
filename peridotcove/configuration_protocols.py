"""Which protocol between nodes a configuration needs.

A build refuses a configuration with a key that it doesn't know. So builds that know
different keys exchange only configurations without them; see docs/design/upgrades.md.
"""

from peridotcove.models import Configuration
from peridotcove.schema import find_added_keys

PROTOCOL_BY_KEY = find_added_keys(Configuration)


def find_needed_protocol(parts, protocol_by_key=PROTOCOL_BY_KEY):
    """Return the oldest protocol whose builds know all keys of a configuration.

    A text that equals a key counts as one. This costs some more reads of the service.

    Parameters
    ----------
    parts : iterable of ConfigurationPart
        Parts of the configuration.
    protocol_by_key : dict of int
        First protocol that knows a key, for the keys that some builds lack.

    Returns
    -------
    int
        The protocol; 0 if all builds know the keys.
    """
    needed = 0
    for part in parts:
        for key, protocol in protocol_by_key.items():
            if protocol > needed and f'"{key}"'.encode() in part.data:
                needed = protocol
    return needed
