"""Detects and contains requests that crash the backend servers they run on.

Such a request may be sent repeatedly, to any machine. Each server that starts
to run it ends, together with all other requests that run there.
"""
