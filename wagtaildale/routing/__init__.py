"""From a request to its class of work and its upstream."""
