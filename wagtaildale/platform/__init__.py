"""The users' platform: its names, formats and calls, decoded once.

Nothing here decides anything, and nothing outside knows the platform's
names. ``docs/design/platform.md`` says what becomes of each.
"""
