"""Distributes documents and membership news between nodes."""
