"""Stand-ins of external systems, for tests, benchmarks and the demo."""
