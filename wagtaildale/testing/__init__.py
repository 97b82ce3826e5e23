"""Builders, assertions and simulations that tests use."""
