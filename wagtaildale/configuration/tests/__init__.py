"""Tests of operators' files."""
