"""The platform's protocol: HTTP/1.1 with clients, nodes and discovery, without I/O; llhttp parses."""

MAX_HEAD_BYTES = 16 << 10  # of a message's head: request or status line and fields
MAX_BODY_BYTES = 64 << 10  # of a request's body
MAX_FIELDS = 100  # of a message's head; about ten are usual
KEPT_FIELD_BYTES = 200  # what the interpreter needs for a kept field beside its bytes
