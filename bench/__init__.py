"""Benchmarks and the measurements behind docs/CAPACITY.md."""
