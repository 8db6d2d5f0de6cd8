"""The control program: replicated durable state."""
