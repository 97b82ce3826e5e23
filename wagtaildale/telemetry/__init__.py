"""Events, logs and metrics."""
