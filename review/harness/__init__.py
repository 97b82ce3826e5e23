"""Stand-ins of the platform, upstreams and clients for the cases of a review.

They need nothing beyond Python's standard library.
"""
