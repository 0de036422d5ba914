"""Deployments described with the operators' library."""
