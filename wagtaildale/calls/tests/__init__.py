"""Tests of calls."""
