"""Open-loop load that tells the truth: latency from the intended send time, and the generator's own lag beside it."""
