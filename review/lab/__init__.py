"""Stand-ins for the platform of the users, and a runner for instances of the product."""
