"""Tests of replicated documents."""
