"""Message codec, framing and authenticated links between processes."""
