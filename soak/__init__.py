"""A randomized fault soak: real gateway processes, stand-ins around them, faults from outside."""
