"""Divides the memory and the descriptors of the machine among the connections."""

from attrs import frozen

BYTES_PER_MB = 1_000_000
# Memory of a node without connections.
PROCESS_BYTES = 56 * BYTES_PER_MB
# At least this share of the memory is for connections, on machines that have less.
MIN_FREE_SHARE = 1 / 8
# What is held may exist twice for a moment: a buffer that grows, an answer that is
# copied. The rest of the free memory is for the connections themselves.
HELD_SHARE = 2 / 5
CONNECTIONS_SHARE = 1 / 5
# Most memory that a byte of JSON takes while it is decoded: small objects become
# dictionaries, beside the body and its text.
DECODED_BYTES_PER_BYTE = 40
# Memory of a connection that holds nothing.
CONNECTION_BYTES = 16_384
# Descriptors of files, and of sockets that listen or belong to the event loop.
FILE_DESCRIPTORS = 200
# Shares of the descriptors for sockets. Each running request has one connection of its
# caller and one to an engine; links between nodes get what is left.
CALLERS_SHARE = 1 / 3
UNKNOWN_PEERS_SHARE = 1 / 8
RELAYS_SHARE = 1 / 15
OPERATORS_SHARE = 1 / 16
MAX_OPERATORS = 32
# Each relay has two connections and two buffers.
MAX_RELAYS = 256


@frozen
class Capacity:
    """How much all connections of a kind may take together.

    Attributes
    ----------
    held_bytes : int
        Bytes held for connections: bodies, answers and what is not sent yet.
    answer_bytes : int
        Part of it for unfinished answers of endpoints.
    body_bytes : int
        Part of it for bodies of requests in progress.
    callers, operators : int
        Connections of callers and to the operators' port.
    unknown_peers : int
        Connections to the port for nodes that have not said who they are.
    relays : int
        Connections that are relayed for other nodes.
    """

    held_bytes: int
    answer_bytes: int
    body_bytes: int
    callers: int
    operators: int
    unknown_peers: int
    relays: int

    @property
    def page_bytes(self):
        """Size of the largest page of JSON whose values fit into `answer_bytes`."""
        return self.answer_bytes // DECODED_BYTES_PER_BYTE


def plan_capacity(machine, open_files):
    """Return the `Capacity` of a machine.

    Parameters
    ----------
    machine : Machine
        Limits of the machine that the settings state.
    open_files : int
        Descriptors that the system lets the process open.
    """
    memory_bytes = machine.memory_mb * BYTES_PER_MB
    free_bytes = max(memory_bytes - PROCESS_BYTES, int(memory_bytes * MIN_FREE_SHARE))
    held_bytes = int(free_bytes * HELD_SHARE)
    connections = int(free_bytes * CONNECTIONS_SHARE) // CONNECTION_BYTES
    descriptors = min(machine.descriptors, open_files)
    sockets = max(descriptors - FILE_DESCRIPTORS, descriptors // 2)
    return Capacity(
        held_bytes,
        answer_bytes=held_bytes // 2,
        body_bytes=held_bytes // 2,
        callers=min(int(sockets * CALLERS_SHARE), connections),
        operators=min(int(sockets * OPERATORS_SHARE), MAX_OPERATORS),
        unknown_peers=int(sockets * UNKNOWN_PEERS_SHARE),
        relays=min(int(sockets * RELAYS_SHARE), MAX_RELAYS),
    )
