"""The demonstration: a small fleet on loopback addresses."""
