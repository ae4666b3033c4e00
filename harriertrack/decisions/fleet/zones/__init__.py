"""How a fleet leaves failed zones and returns to them: observations, decisions and their effect on a head."""
