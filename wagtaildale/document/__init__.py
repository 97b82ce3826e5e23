"""Replicated documents: content-addressed, applied whole or not at all."""
