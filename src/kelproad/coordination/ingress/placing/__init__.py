"""Choice of endpoints for a call, and the memory and speed of engines."""
