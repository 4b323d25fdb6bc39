"""Other instances: their work in flight, queries, reachable zones."""
