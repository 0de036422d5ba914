"""The operators' port, and commands for operators."""
