"""The entry program: callers' HTTP, claims, routing and relay."""
