"""The control program, which holds the replicated durable state."""
