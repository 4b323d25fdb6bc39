"""Tests, each of a failure opening with its story."""
