"""Tests of the adapter for the operators' platform."""
