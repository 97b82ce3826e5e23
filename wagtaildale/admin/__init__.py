"""Administration API of a node."""
