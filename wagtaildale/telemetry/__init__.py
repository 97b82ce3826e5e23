"""Events, the event log and metrics of a node."""
