"""Request path of an entry whose claims are local to it."""
