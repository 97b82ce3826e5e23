"""Messages between entries and owners."""
