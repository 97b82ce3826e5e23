"""Tests of the slice."""
