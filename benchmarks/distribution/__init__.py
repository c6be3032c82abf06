"""How agreed configuration spreads: virtual fleets, hollow and whole processes, baselines, kept results."""
