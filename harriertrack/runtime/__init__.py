"""The event loop (hub): greenlets over select.poll, timers, streams, datagrams and signals; no protocols."""
