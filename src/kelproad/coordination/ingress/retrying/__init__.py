"""Attempts one after the other: evaluation of failures, retry budgets."""
