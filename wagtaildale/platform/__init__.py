"""Adapter for the operators' platform: its names, formats and calls.

The platform's names are translated here and used nowhere else; this package
makes no decisions. ``docs/design/platform.md`` describes the translation of
each name.
"""
