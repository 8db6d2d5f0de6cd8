"""Request identity, the claim table and the life of one request."""
