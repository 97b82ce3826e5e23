"""Requests that end the backend servers that run them.

Load pattern answered: one request comes again and again, at any machine, and
each server that begins to run it ends, with all else that runs there.
"""
