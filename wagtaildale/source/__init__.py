"""Reading and watching the platform's service."""
