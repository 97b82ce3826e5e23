"""The administration API of one node."""
