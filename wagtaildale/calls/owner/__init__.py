"""The owner: from a call of an entry to a run at the backend server."""
