"""Stand-ins for the cases 6 to 10: platform store, servers, clients, and the nodes."""
