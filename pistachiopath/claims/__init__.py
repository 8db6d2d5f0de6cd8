"""Request identity, the claim table and the flow of one request."""
