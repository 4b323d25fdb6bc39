"""Requests that crash engines: evidence, trials one at a time, quarantine."""
