"""The daemon's own settings."""
