"""Spreading documents and membership between nodes."""
