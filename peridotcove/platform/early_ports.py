"""Opens the ports of a node before the rest of the program is imported.

Connections of clients and of other nodes wait in the system's queues meanwhile; without
a listener they would be refused. This module imports little for that reason.
"""

import os
import socket
import tomllib

# Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = "PERIDOTCOVE_NODE_FILE"
# Listeners of the settings file that are opened: for clients, and for other nodes.
LISTENERS = ("front", "control")
# Longest queue of connections that are not accepted yet.
BACKLOG = 1_024


def open_early_ports():
    """Return listening sockets for addresses of the platform's settings file.

    Faults are left to the code that reads the settings and opens the missing ports: it
    reports them.

    Returns
    -------
    dict of socket.socket
        Sockets by ``(host, port)``.
    """
    socket_by_address = {}
    for address in _read_addresses(os.environ.get(SETTINGS_PATH_VARIABLE, "")):
        listener = socket.socket()
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(BACKLOG)
            listener.setblocking(False)
        except OSError:
            listener.close()
            continue
        socket_by_address[address] = listener
    return socket_by_address


def _read_addresses(file):
    if not file.endswith(".toml"):
        return []
    try:
        with open(file, "rb") as stream:
            listen = tomllib.load(stream).get("listen")
    except (OSError, tomllib.TOMLDecodeError):
        return []
    texts = [listen.get(name) for name in LISTENERS] if isinstance(listen, dict) else []
    addresses = []
    for text in texts:
        host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        if host and port.isdigit() and 0 < int(port) < 65_536:
            addresses.append((host, int(port)))
    return addresses
