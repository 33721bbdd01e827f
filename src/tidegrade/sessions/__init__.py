"""Sessions over a connection: values, prepared statements, transactions."""

from tidegrade.sessions._access import Access
from tidegrade.sessions._access import refusal_code
from tidegrade.sessions._access import resolve_access
from tidegrade.sessions._commands import Begin
from tidegrade.sessions._commands import Command
from tidegrade.sessions._commands import Commit
from tidegrade.sessions._commands import Deallocate
from tidegrade.sessions._commands import Execute
from tidegrade.sessions._commands import Prepare
from tidegrade.sessions._commands import Rollback
from tidegrade.sessions._commands import Run
from tidegrade.sessions._commands import SetValue
from tidegrade.sessions._deps import CommandRecord
from tidegrade.sessions._deps import GroupAccess
from tidegrade.sessions._deps import QuotaAccess
from tidegrade.sessions._deps import Reply
from tidegrade.sessions._deps import ServicePhase
from tidegrade.sessions._deps import SessionDeps
from tidegrade.sessions._deps import SessionState
from tidegrade.sessions._deps import UnlimitedQuota
from tidegrade.sessions._routes import Catalogue
from tidegrade.sessions._routes import DatabaseRoute
from tidegrade.sessions._routes import GroupEntry
from tidegrade.sessions._session import Session

__all__ = [
    'Access',
    'Begin',
    'Catalogue',
    'Command',
    'CommandRecord',
    'Commit',
    'DatabaseRoute',
    'Deallocate',
    'Execute',
    'GroupAccess',
    'GroupEntry',
    'Prepare',
    'QuotaAccess',
    'Reply',
    'Rollback',
    'Run',
    'ServicePhase',
    'Session',
    'SessionDeps',
    'SessionState',
    'SetValue',
    'UnlimitedQuota',
    'refusal_code',
    'resolve_access',
]
