"""Tests of decoding."""
