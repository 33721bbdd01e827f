"""Public events and commands of the supervisor, for its driver."""

from tidegrade.core._supervision import Announce
from tidegrade.core._supervision import AskGiveUp
from tidegrade.core._supervision import ControlEnded
from tidegrade.core._supervision import GaveUp
from tidegrade.core._supervision import HoldersListed
from tidegrade.core._supervision import ListHolders
from tidegrade.core._supervision import Note
from tidegrade.core._supervision import Observed
from tidegrade.core._supervision import ReadRow
from tidegrade.core._supervision import RecallControls
from tidegrade.core._supervision import RowLost
from tidegrade.core._supervision import RowRead
from tidegrade.core._supervision import RowWritten
from tidegrade.core._supervision import RunControl
from tidegrade.core._supervision import SupervisorCommand
from tidegrade.core._supervision import SupervisorEvent
from tidegrade.core._supervision import Woke
from tidegrade.core._supervision import WriteRow

__all__ = [
    'Announce',
    'AskGiveUp',
    'ControlEnded',
    'GaveUp',
    'HoldersListed',
    'ListHolders',
    'Note',
    'Observed',
    'ReadRow',
    'RecallControls',
    'RowLost',
    'RowRead',
    'RowWritten',
    'RunControl',
    'SupervisorCommand',
    'SupervisorEvent',
    'Woke',
    'WriteRow',
]
