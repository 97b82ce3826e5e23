"""The planned stop of a node."""
