"""The platform's promotions, with the numbers that orders bear."""


class Violation(AssertionError):
    """A promise was seen broken from outside."""


class FakeDuties:
    """Takes orders to promote and judges their numbers as they arrive.

    The platform doesn't check the numbers itself: whoever sends a lower one
    than it has seen, or the same as somebody else, has broken a promise.
    """

    def __init__(self) -> None:
        self._number = 0
        self._holder = ''

    def order(self, holder: str, number: int) -> None:
        """Take an order; raises :class:`Violation` if it comes too late."""
        if number < self._number:
            raise Violation(
                f'{holder} promoted with {number} after {self._holder} '
                f'with {self._number}'
            )
        if number == self._number and holder != self._holder:
            raise Violation(
                f'{holder} and {self._holder} promoted with {number}'
            )
        self._number = number
        self._holder = holder
