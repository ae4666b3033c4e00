"""The platform's protocol: HTTP/1.1 of clients, shelfs and discovery without I/O; llhttp parses."""

MAX_HEAD_BYTES = 16 << 10  # bytes of a message's head
MAX_BODY_BYTES = 64 << 10  # bytes of a request's body
