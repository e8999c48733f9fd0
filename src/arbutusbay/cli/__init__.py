"""Expose the command-line client for operators."""

from arbutusbay.cli._api_client import ApiClient, ApplyResult
from arbutusbay.cli._main import main
from arbutusbay.cli._resource_files import DeclaredResource, read_resource_file

__all__ = (
    'ApiClient',
    'ApplyResult',
    'DeclaredResource',
    'main',
    'read_resource_file',
)
