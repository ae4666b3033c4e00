"""Time limits for processes of a rig, and allowances for a busy machine."""

READY_US = 30_000_000  # within which a process has to listen
PASSING_US = 300_000  # the longest that bytes may take to pass through this process's relays
TURN_US = 1_000  # between two starts, and between two checks for the end of a process
RESUME_ALLOWANCE_US = 500_000  # a resumed process first has to read and answer what arrived meanwhile
