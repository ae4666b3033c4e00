"""The platform's protocol: HTTP/1.1 of clients, shelfs and discovery without I/O; llhttp parses."""

MOST_HEAD = 16 << 10  # bytes of a message's head
MOST_BODY = 64 << 10  # bytes of a request's body
