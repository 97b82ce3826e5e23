"""Tests of a daemon's settings."""
