"""The path of calls: caller, entry, owner, backend server."""
