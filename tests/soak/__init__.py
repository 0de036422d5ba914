"""Real node processes on loopback, under faults that come from outside them."""
