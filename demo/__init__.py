"""Demo of the mesh: a small fleet on loopback addresses."""
