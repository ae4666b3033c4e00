"""How many connections a head may have, by its descriptors and by its memory.

No I/O and no clock. Connections take memory beside the payload that they carry: the objects of both ends, and
for one to a node the stack of its task.
"""

from __future__ import annotations

from dataclasses import dataclass

# Shares of the file descriptors, in percent. Clients hold up to a third for requests; as many connections
# again send one request and stay open, and some clients are malicious. A quarter is for nodes, of which some
# tens are used. At least MIN_SPARE descriptors remain for discovery, the listener, signals and logs.
CLIENT_PERCENT, NODE_PERCENT, MIN_SPARE = 66, 25, 12
# Clients hold at most a third of the descriptors for requests, including connections that stay open after one
# request: part of that third has to stay free for new clients.
USED_CLIENT_PERCENT = 25
BASE_BYTES = 22 << 20  # what a process without connections and payload takes
MEMORY_PARTS = 2  # connections may take this part of the rest
MIN_CONNECTION_MEMORY_BYTES = 1 << 20
CLIENT_BYTES, NODE_BYTES = 4 << 10, 14 << 10  # of memory for a connection
CLIENT_THIRDS = 2  # clients' connections may take two thirds of that memory


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The most connections of a head."""

    clients: int
    used_clients: int  # of these, those that have sent a request
    nodes: int

    @classmethod
    def of_process(cls, descriptors: int, memory_bytes: int) -> ConnectionLimits:
        """Return the limits of a process that may use so many descriptors and so much memory."""
        memory = max(MIN_CONNECTION_MEMORY_BYTES, (memory_bytes - BASE_BYTES) // MEMORY_PARTS)
        clients = descriptors * CLIENT_PERCENT // 100
        nodes = min(descriptors * NODE_PERCENT // 100, descriptors - clients - MIN_SPARE)
        clients = min(clients, memory * CLIENT_THIRDS // 3 // CLIENT_BYTES)
        nodes = min(nodes, (memory - clients * CLIENT_BYTES) // NODE_BYTES)
        return cls(clients, min(descriptors * USED_CLIENT_PERCENT // 100, clients), nodes)
