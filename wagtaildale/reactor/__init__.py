"""A task that owns sockets: its loop, and the streams in it."""
