"""Public events and commands of the supervisor, for its driver."""

from tidegrade.core._supervision import AnnounceRow
from tidegrade.core._supervision import CancelControls
from tidegrade.core._supervision import ControlEnded
from tidegrade.core._supervision import HoldersListed
from tidegrade.core._supervision import ListHolders
from tidegrade.core._supervision import Observed
from tidegrade.core._supervision import PermissionReleased
from tidegrade.core._supervision import ProcessResumed
from tidegrade.core._supervision import ReadRow
from tidegrade.core._supervision import RequestRelease
from tidegrade.core._supervision import RowRead
from tidegrade.core._supervision import RowRequestFailed
from tidegrade.core._supervision import RowWritten
from tidegrade.core._supervision import RunControl
from tidegrade.core._supervision import SupervisorCommand
from tidegrade.core._supervision import SupervisorEvent
from tidegrade.core._supervision import TermStart
from tidegrade.core._supervision import WriteLog
from tidegrade.core._supervision import WriteRow

__all__ = [
    'AnnounceRow',
    'CancelControls',
    'ControlEnded',
    'HoldersListed',
    'ListHolders',
    'Observed',
    'PermissionReleased',
    'ProcessResumed',
    'ReadRow',
    'RequestRelease',
    'RowRead',
    'RowRequestFailed',
    'RowWritten',
    'RunControl',
    'SupervisorCommand',
    'SupervisorEvent',
    'TermStart',
    'WriteLog',
    'WriteRow',
]
