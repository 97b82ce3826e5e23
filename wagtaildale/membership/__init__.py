"""Membership: members of the fleet, their topology and failure detection."""
