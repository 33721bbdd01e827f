"""Protocols of what the proxy needs from, and offers to, the outside."""

from tidegrade.ports._callers import Call
from tidegrade.ports._callers import Callers
from tidegrade.ports._callers import CallReply
from tidegrade.ports._clock import Clock
from tidegrade.ports._endpoint import ConnectProblem
from tidegrade.ports._endpoint import EndpointConn
from tidegrade.ports._endpoint import Endpoints
from tidegrade.ports._operators import Applied
from tidegrade.ports._operators import ApplyOrder
from tidegrade.ports._operators import ApplyProblem
from tidegrade.ports._operators import HistoryEntry
from tidegrade.ports._operators import Operators
from tidegrade.ports._platform import ObjectStore
from tidegrade.ports._platform import Table
from tidegrade.ports._platform import Versioned
from tidegrade.ports._platform import Vm
from tidegrade.ports._platform import VmList
from tidegrade.ports._platform import WriteProblem
from tidegrade.ports._sessions import CallerListener
from tidegrade.ports._sessions import ConfigSeen
from tidegrade.ports._sessions import Directory
from tidegrade.ports._sessions import EndpointEntry
from tidegrade.ports._sessions import EndpointList
from tidegrade.ports._sessions import SessionService
from tidegrade.ports._sessions import StatusPages

__all__ = [
    'Applied',
    'ApplyOrder',
    'ApplyProblem',
    'Call',
    'CallReply',
    'CallerListener',
    'Callers',
    'Clock',
    'ConfigSeen',
    'ConnectProblem',
    'Directory',
    'EndpointConn',
    'EndpointEntry',
    'EndpointList',
    'Endpoints',
    'HistoryEntry',
    'ObjectStore',
    'Operators',
    'SessionService',
    'StatusPages',
    'Table',
    'Versioned',
    'Vm',
    'VmList',
    'WriteProblem',
]
