"""Admission control at the owner: admits, queues or refuses requests."""
