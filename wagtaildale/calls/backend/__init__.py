"""Connections to the backend server, and whether it is up."""
