"""What sockets need beyond what a stream of the event loop offers."""

from tidegrade.net._shutdown import drop_unsent
from tidegrade.net._shutdown import shut_down
from tidegrade.net._silence import CALLER_SILENCE
from tidegrade.net._silence import SILENCE
from tidegrade.net._silence import watch

__all__ = ['CALLER_SILENCE', 'SILENCE', 'drop_unsent', 'shut_down', 'watch']
