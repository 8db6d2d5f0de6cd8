"""Soft state of replicas, merged from their announcements by control nodes."""
