"""How long processes are waited for."""

READY_US = 30_000_000  # the longest that a process may take to listen
PASSING_US = 300_000  # the longest that bytes may take through this process
TURN_US = 1_000
RESUME_ALLOWANCE_US = 500_000  # after a process goes on it has to read and answer what came meanwhile
