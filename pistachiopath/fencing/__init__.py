"""Fencing numbers of orders to engines."""
