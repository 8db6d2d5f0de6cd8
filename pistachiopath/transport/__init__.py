"""Codec, framing and gevent links between the processes."""
