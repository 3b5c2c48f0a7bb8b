"""Experiments that compare the product's decisions with naive ones in virtual time."""
