"""The path of calls: caller, entry, owner, backend server.

Packages import one another in one direction: ``wire`` none, then ``http``,
``backend``, ``owner`` and ``entry``, each those before it. The task puts all of
them together.
"""
