"""The decision core: pure state machines, driven by events and the time.

A driver creates a :class:`GroupMachine` and a :class:`Supervisor` for each
group. It passes every event with the current time to ``handle`` and carries
out the commands that ``handle`` returns. The package opens no sockets, reads
no clocks and has no random source of its own.
"""

from tidegrade.core._adoption import Adoption
from tidegrade.core._adoption import ConfigRef
from tidegrade.core._config_age import ConfigAge
from tidegrade.core._detector import is_down
from tidegrade.core._detector import Opinion
from tidegrade.core._events import CloseConn
from tidegrade.core._events import Command
from tidegrade.core._events import ConfigChanged
from tidegrade.core._events import ConnClosed
from tidegrade.core._events import ConnOpened
from tidegrade.core._events import ControlEnded
from tidegrade.core._events import ControlRequested
from tidegrade.core._events import ControlsCancelled
from tidegrade.core._events import CutOffChanged
from tidegrade.core._events import DrainEnded
from tidegrade.core._events import DrainStarted
from tidegrade.core._events import EndpointSuspected
from tidegrade.core._events import Event
from tidegrade.core._events import EvidenceReceived
from tidegrade.core._events import FetchRow
from tidegrade.core._events import GiveUp
from tidegrade.core._events import JobEnded
from tidegrade.core._events import LeavingEndpointsChanged
from tidegrade.core._events import OpenConn
from tidegrade.core._events import PollingDutyChanged
from tidegrade.core._events import ProcessPaused
from tidegrade.core._events import Registered
from tidegrade.core._events import Reply
from tidegrade.core._events import RequestArrived
from tidegrade.core._events import RequestCancelled
from tidegrade.core._events import RowReceived
from tidegrade.core._events import RunJob
from tidegrade.core._events import Tick
from tidegrade.core._events import WorkHealthChanged
from tidegrade.core._evidence import Evidence
from tidegrade.core._evidence import MemberGrant
from tidegrade.core._evidence import shifted
from tidegrade.core._failover import Step
from tidegrade.core._failover import Supervisor
from tidegrade.core._group import GroupMachine
from tidegrade.core._group import is_newer
from tidegrade.core._isolation import Isolation
from tidegrade.core._jobs import CommitJob
from tidegrade.core._jobs import ExecuteJob
from tidegrade.core._jobs import Failure
from tidegrade.core._jobs import FenceJob
from tidegrade.core._jobs import FollowJob
from tidegrade.core._jobs import Job
from tidegrade.core._jobs import JobDone
from tidegrade.core._jobs import JobFailed
from tidegrade.core._jobs import JobOutcome
from tidegrade.core._jobs import NO_LOSS
from tidegrade.core._jobs import PromoteJob
from tidegrade.core._jobs import ReadJob
from tidegrade.core._jobs import RollbackJob
from tidegrade.core._jobs import SessionSetup
from tidegrade.core._jobs import SetupJob
from tidegrade.core._jobs import StartJob
from tidegrade.core._jobs import StatusJob
from tidegrade.core._jobs import WriteJob
from tidegrade.core._routing import PrimaryAfterWrite
from tidegrade.core._routing import PrimaryOnly
from tidegrade.core._routing import ReadPolicy
from tidegrade.core._routing import SessionReplica
from tidegrade.core._row import Attempt
from tidegrade.core._row import Fork
from tidegrade.core._row import GroupRow
from tidegrade.core._row import TERMS_PER_GENERATION
from tidegrade.core._sources import Source
from tidegrade.core._sources import SourceSelector
from tidegrade.core._state import MachineSettings
from tidegrade.core._state import MAX_SCHEDULING_DELAY_S
from tidegrade.core._state import MAX_TRUSTED_PAUSE_S
from tidegrade.core._token import SessionToken
from tidegrade.core._traits import POSTGRESQL
from tidegrade.core._traits import Traits
from tidegrade.core._types import Answer
from tidegrade.core._types import Code
from tidegrade.core._types import EndpointReport
from tidegrade.core._types import invariant
from tidegrade.core._types import InvariantBroken
from tidegrade.core._types import Kind
from tidegrade.core._types import Outcome
from tidegrade.core._types import Position
from tidegrade.core._types import Prepared
from tidegrade.core._types import Request
from tidegrade.core._types import ResultSet
from tidegrade.core._types import shifted_request
from tidegrade.core._types import Statement
from tidegrade.core._types import Trace
from tidegrade.core._watching import PROMOTION_DELIVERY_S
from tidegrade.core.limits._bucket import INITIAL_GRANTS
from tidegrade.core.limits._handover import EXCLUSIVE_PART
from tidegrade.core.limits._handover import Handover
from tidegrade.core.limits._handover import Handovers
from tidegrade.core.limits._owners import owns_quota
from tidegrade.core.limits._owners import quota_owners
from tidegrade.core.limits._owners import visible_part
from tidegrade.core.limits._ownership import Ownership
from tidegrade.core.limits._quota import Admission
from tidegrade.core.limits._quota import Grant
from tidegrade.core.limits._quota import GRANT_RETURN_PERIOD_S
from tidegrade.core.limits._quota import QuotaOwner
from tidegrade.core.placing._capacity import largest_first
from tidegrade.core.placing._capacity import thousandths
from tidegrade.core.placing._contacts import Contacts
from tidegrade.core.placing._homes import expected_homes
from tidegrade.core.placing._homes import home_of_tenant
from tidegrade.core.placing._homes import Homes
from tidegrade.core.placing._homes import homes
from tidegrade.core.placing._homes import owner_of
from tidegrade.core.placing._rendezvous import highest_ranked
from tidegrade.core.placing._rendezvous import rank
from tidegrade.core.placing._rendezvous import top_ranked
from tidegrade.core.placing._rendezvous import vm_of
from tidegrade.core.placing._rendezvous import weight

__all__ = [
    'EXCLUSIVE_PART',
    'GRANT_RETURN_PERIOD_S',
    'INITIAL_GRANTS',
    'MAX_SCHEDULING_DELAY_S',
    'MAX_TRUSTED_PAUSE_S',
    'NO_LOSS',
    'POSTGRESQL',
    'PROMOTION_DELIVERY_S',
    'TERMS_PER_GENERATION',
    'Admission',
    'Adoption',
    'Answer',
    'Attempt',
    'CloseConn',
    'Code',
    'Command',
    'CommitJob',
    'ConfigAge',
    'ConfigChanged',
    'ConfigRef',
    'ConnClosed',
    'ConnOpened',
    'Contacts',
    'ControlEnded',
    'ControlRequested',
    'ControlsCancelled',
    'CutOffChanged',
    'DrainEnded',
    'DrainStarted',
    'EndpointReport',
    'EndpointSuspected',
    'Event',
    'Evidence',
    'EvidenceReceived',
    'ExecuteJob',
    'Failure',
    'FenceJob',
    'FetchRow',
    'FollowJob',
    'Fork',
    'GiveUp',
    'Grant',
    'GroupMachine',
    'GroupRow',
    'Handover',
    'Handovers',
    'Homes',
    'InvariantBroken',
    'Isolation',
    'Job',
    'JobDone',
    'JobEnded',
    'JobFailed',
    'JobOutcome',
    'Kind',
    'LeavingEndpointsChanged',
    'MachineSettings',
    'MemberGrant',
    'OpenConn',
    'Opinion',
    'Outcome',
    'Ownership',
    'PollingDutyChanged',
    'Position',
    'Prepared',
    'PrimaryAfterWrite',
    'PrimaryOnly',
    'ProcessPaused',
    'PromoteJob',
    'QuotaOwner',
    'ReadJob',
    'ReadPolicy',
    'Registered',
    'Reply',
    'Request',
    'RequestArrived',
    'RequestCancelled',
    'ResultSet',
    'RollbackJob',
    'RowReceived',
    'RunJob',
    'SessionReplica',
    'SessionSetup',
    'SessionToken',
    'SetupJob',
    'Source',
    'SourceSelector',
    'StartJob',
    'Statement',
    'StatusJob',
    'Step',
    'Supervisor',
    'Tick',
    'Trace',
    'Traits',
    'WorkHealthChanged',
    'WriteJob',
    'expected_homes',
    'highest_ranked',
    'home_of_tenant',
    'homes',
    'invariant',
    'is_down',
    'is_newer',
    'largest_first',
    'owner_of',
    'owns_quota',
    'quota_owners',
    'rank',
    'shifted',
    'shifted_request',
    'thousandths',
    'top_ranked',
    'visible_part',
    'vm_of',
    'weight',
]
