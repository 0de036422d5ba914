"""Binds HTTP servers to addresses."""

from tornado.netutil import bind_sockets


def listen(server, host, port, early_socket=None):
    """Bind a server to an address and return the port.

    Parameters
    ----------
    server : HTTPServer
        The server.
    host : str
        IP address.
    port : int
        Port; with 0 the operating system chooses one.
    early_socket : socket.socket or None
        Socket that listens at the address already.
    """
    sockets = [early_socket] if early_socket else bind_sockets(port, host)
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]
