"""Request limits that endpoints set: observation, sharing, obedience."""
