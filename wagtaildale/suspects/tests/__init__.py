"""Tests of the records of suspected requests."""
