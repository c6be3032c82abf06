"""The load generator checked against stand-ins of known latency."""
