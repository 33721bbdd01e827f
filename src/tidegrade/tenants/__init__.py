"""Tenants: their keys, the callers that present them, and their limits."""

from tidegrade.tenants._callers import Caller
from tidegrade.tenants._keyring import Keyring
from tidegrade.tenants._keys import key_hash
from tidegrade.tenants._tenant import Tenant

__all__ = [
    'Caller',
    'Keyring',
    'Tenant',
    'key_hash',
]
