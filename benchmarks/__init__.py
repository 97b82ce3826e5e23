"""Benchmarks against real processes on loopback."""
