"""Expose the command-line client for operators."""

from arbutusbay.cli._client import ApiClient, Applied
from arbutusbay.cli._files import Document, read_documents
from arbutusbay.cli._main import main

__all__ = ('ApiClient', 'Applied', 'Document', 'main', 'read_documents')
