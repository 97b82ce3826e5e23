"""Operators' files: reading, checking, compiling, comparing."""
