"""Rollouts of a software version: decisions without I/O."""
