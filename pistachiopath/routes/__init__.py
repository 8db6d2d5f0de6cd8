"""Routes, services and customers, as operators configure them."""
