"""Fencing tokens that the owner of a cell sends with its calls to workers.

A worker carries out no call with a lower token than it has seen. The owner raises its
token when a worker has restarted under its id: a call that was meant for the former
process is then refused by the new one, to which it would otherwise look like its own.
"""

# Tokens of one epoch, for the restarts of workers while a cell has the same owner.
TOKENS_PER_EPOCH = 10_000


class FencingTokens:
    """Fencing tokens of one epoch, which are lower than those of the next one."""

    def __init__(self, epoch: int) -> None:
        self.current = epoch
        self._last = epoch + TOKENS_PER_EPOCH - 1

    def advance(self) -> bool:
        """Raise the token; return False if the epoch has no higher one."""
        if self.current == self._last:
            return False
        self.current += 1
        return True
