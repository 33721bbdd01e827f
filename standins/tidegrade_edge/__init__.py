"""A small stand-in for the users' platform, written from its pages.

It keeps rows with versions and a feed, runs database instances that
replicate to each other, and carries out promotions. What goes wrong is
switched on and off by whoever holds the objects.
"""

from tidegrade_edge._client import Client
from tidegrade_edge._client import Reply
from tidegrade_edge._history import DATABASES
from tidegrade_edge._history import History
from tidegrade_edge._history import Statement
from tidegrade_edge._instance import Commit
from tidegrade_edge._instance import Entry
from tidegrade_edge._instance import Instance
from tidegrade_edge._instance import Misstep
from tidegrade_edge._instance import Run
from tidegrade_edge._instance import SetupFault
from tidegrade_edge._instance import Traits
from tidegrade_edge._relay import Direction
from tidegrade_edge._relay import Relay
from tidegrade_edge._site import free_ports
from tidegrade_edge._site import ProxyProcess
from tidegrade_edge._site import Site
from tidegrade_edge._site import SiteSettings
from tidegrade_edge._store import Store

__all__ = [
    'DATABASES',
    'Client',
    'Commit',
    'Direction',
    'Entry',
    'History',
    'Instance',
    'Misstep',
    'ProxyProcess',
    'Relay',
    'Reply',
    'Run',
    'SetupFault',
    'Site',
    'SiteSettings',
    'Statement',
    'Store',
    'Traits',
    'free_ports',
]
