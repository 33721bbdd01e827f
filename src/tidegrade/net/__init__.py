"""Socket operations that the streams of the event loop do not offer."""

from tidegrade.net._shutdown import drop_unsent
from tidegrade.net._shutdown import shut_down
from tidegrade.net._silence import CALLER_SILENCE
from tidegrade.net._silence import SILENCE
from tidegrade.net._silence import watch

__all__ = ['CALLER_SILENCE', 'SILENCE', 'drop_unsent', 'shut_down', 'watch']
