"""Tests of key files."""
