"""Which process of a replica answers, and which one began a stream."""
