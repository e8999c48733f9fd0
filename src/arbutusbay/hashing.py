"""Expose the hashing that all processes share."""

from arbutusbay._rendezvous import rendezvous_order

__all__ = ('rendezvous_order',)
