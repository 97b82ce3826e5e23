"""The entry: from a request of a caller to the attempts at upstreams."""
