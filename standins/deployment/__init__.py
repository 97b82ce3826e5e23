"""Stand-ins of the users' deployments: store, backend servers and callers.

Everything runs as processes of the operating system and speaks what the nodes
speak on the users' platform.
"""
