"""The configuration document: its structure and its validation."""

from tidegrade.config._checks import problems_of
from tidegrade.config._document import Acknowledge
from tidegrade.config._document import Document
from tidegrade.config._document import Endpoint
from tidegrade.config._document import Group
from tidegrade.config._document import ReadClass
from tidegrade.config._document import ReadPolicy
from tidegrade.config._document import Site
from tidegrade.config._document import Tenant

__all__ = [
    'Acknowledge',
    'Document',
    'Endpoint',
    'Group',
    'ReadClass',
    'ReadPolicy',
    'Site',
    'Tenant',
    'problems_of',
]
