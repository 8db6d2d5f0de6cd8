"""Streams that are resumed, and the software versions that began them."""
