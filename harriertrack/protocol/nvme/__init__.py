"""NVMe over TCP without I/O: the transport's PDUs, and the commands and data structures that they carry."""
