"""The hub: greenlets over select.poll, timers, streams and signals. Knows no protocol."""
