"""Limits per customer and retry budgets."""
