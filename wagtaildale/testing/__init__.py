"""Builders and assertions for the tests."""
