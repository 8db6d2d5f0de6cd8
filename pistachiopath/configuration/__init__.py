"""Operators' questionnaire, the configuration made from it, and settings files."""
