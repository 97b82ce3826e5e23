"""Stand-ins and helpers of the scripts in ``review/4`` to ``review/8``."""
