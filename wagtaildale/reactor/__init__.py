"""Event loop of a task that owns sockets, with its streams and acceptors."""
