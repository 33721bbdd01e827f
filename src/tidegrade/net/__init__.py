"""Sockets that notice when the other side has gone without a word."""

from tidegrade.net._silence import CALLER_SILENCE
from tidegrade.net._silence import SILENCE
from tidegrade.net._silence import watch

__all__ = ['CALLER_SILENCE', 'SILENCE', 'watch']
