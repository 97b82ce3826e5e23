"""HTTP messages, and the connections of callers."""
