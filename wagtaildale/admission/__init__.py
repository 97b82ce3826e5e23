"""What the owner admits, queues and refuses."""
