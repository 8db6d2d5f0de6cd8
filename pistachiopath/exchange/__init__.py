"""HTTP/1.1 server for callers and HTTP/1.1 client for targets."""
