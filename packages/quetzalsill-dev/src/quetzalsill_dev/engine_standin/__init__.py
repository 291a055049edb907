"""Stand-in of a model engine: batching, KV cache, preemption, resume."""
