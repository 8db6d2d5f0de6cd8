"""Logs, histograms and spans."""
