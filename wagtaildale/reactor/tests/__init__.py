"""Tests of the reactor."""
