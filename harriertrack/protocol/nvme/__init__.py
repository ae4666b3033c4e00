"""NVMe over TCP, sans-I/O: the transport's PDUs and the structures that they carry."""
