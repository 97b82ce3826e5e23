"""Tests of reading the platform."""
