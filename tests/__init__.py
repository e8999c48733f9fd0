"""Tests of arbutusbay."""
