"""Benchmarks that run real processes on loopback addresses."""
