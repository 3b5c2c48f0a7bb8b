"""Stand-ins and records that the scripts of this review share."""
