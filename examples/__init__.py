"""Example deployments, described with the operators' library."""
