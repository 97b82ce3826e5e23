"""Numbered result codes, and faults that report them."""
