"""Helpers of all programs."""
