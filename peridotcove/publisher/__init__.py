"""What the platform publishes, read only."""
