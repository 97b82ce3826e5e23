"""Start, readiness and the planned stop."""
