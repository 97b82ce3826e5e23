"""Tests of telemetry."""
