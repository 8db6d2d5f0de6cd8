"""Questionnaire, generated configuration and settings files."""
