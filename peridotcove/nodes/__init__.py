"""Links between nodes and the messages that they carry."""
