"""Decodes bytes and texts of other processes and of people.

Each format has one function, in one module. Whatever a decoder raises becomes
a numbered failure there: an error that a caller does not expect would end the
task that reads the input, and with it the process. The linter refuses the
decoders everywhere else.
"""
