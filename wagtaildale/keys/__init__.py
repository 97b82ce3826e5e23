"""Keys of the fleet, for ZeroMQ CURVE connections between nodes."""
