"""The platform's protocol: HTTP/1.1 with clients, nodes and discovery, without I/O; llhttp parses."""

MAX_HEAD_BYTES = 16 << 10  # of a message's head: request or status line and fields
MAX_BODY_BYTES = 64 << 10  # of a request's body
