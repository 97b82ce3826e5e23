"""One timer service that the other parts subscribe to."""
