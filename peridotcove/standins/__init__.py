"""Small stand-ins for the systems around the fleet."""
