"""Fleet membership and services of a head; heads without a fleet do not import it."""
