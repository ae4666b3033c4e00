"""Purges at local close on a head; heads without `(closing ...)` do not import it."""
