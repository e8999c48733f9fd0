"""Expose the command-line client for operators."""

from arbutusbay.cli._api_client import ApiClient, ApplyResult
from arbutusbay.cli._resource_files import DeclaredResource, read_resource_file
from arbutusbay.cli._main import main

__all__ = (
    'ApiClient',
    'ApplyResult',
    'DeclaredResource',
    'main',
    'read_resource_file',
)
