"""Who is served, and who is denied, while an engine is short of capacity."""
