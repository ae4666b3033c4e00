"""A head's part in purges at local close; heads without `(closing ...)` do not load it."""
