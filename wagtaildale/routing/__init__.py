"""Routing: finds the class of a request and chooses its upstream."""
