"""Links between the nodes."""
