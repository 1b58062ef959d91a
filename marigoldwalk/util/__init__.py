"""Helpers that several parts of the package share."""
