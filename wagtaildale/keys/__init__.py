"""Keys of the fleet, for CURVE between nodes."""
