"""What connections may take of a node's memory and descriptors, and who is closed."""
