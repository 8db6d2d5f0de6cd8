"""One versioned document, kept by a replicated log."""
