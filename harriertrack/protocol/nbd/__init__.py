"""NBD, both sides, without I/O: feed bytes in, take events and bytes out.

Source: the NBD protocol specification (doc/proto.md of the NetworkBlockDevice project), fixed newstyle only.
"""
