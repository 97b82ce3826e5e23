"""Reads, checks, compiles and compares operators' files."""
