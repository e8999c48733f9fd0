"""Expose the rendezvous hashing that all processes use."""

from arbutusbay._rendezvous import rendezvous_order

__all__ = ('rendezvous_order',)
