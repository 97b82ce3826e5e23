"""Numbered result codes and the faults that carry them."""
