"""One attempt at an endpoint: sending, relaying its answer, time-outs."""
