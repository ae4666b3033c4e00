"""NBD protocol state machines for client and server, without I/O: bytes in, events and bytes out.

Source: the NBD protocol specification (doc/proto.md of the NetworkBlockDevice project), fixed newstyle only.
"""
