"""Expose the rendezvous hashing that all processes use."""

from arbutusbay._rendezvous import rank_by_rendezvous_hash

__all__ = ('rank_by_rendezvous_hash',)
