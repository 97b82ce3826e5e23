"""Who is in the fleet, who neighbours whom, who is suspected."""
