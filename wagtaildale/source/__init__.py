"""Reads and watches the platform that publishes the documents."""
