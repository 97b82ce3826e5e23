"""The settings of a daemon."""
