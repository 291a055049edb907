"""Stand-in of a model engine: batching, memory, preemption, resume."""
