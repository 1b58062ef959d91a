"""Deterministic decision logic of the query tier, without any I/O.

The core takes typed events together with the current time and returns typed actions. The same
events at the same times yield the same actions on every machine.
"""
