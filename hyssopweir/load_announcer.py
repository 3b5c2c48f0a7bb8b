"""Announcement of the load of the owned shards to all peers."""

from hyssopweir.clock import Clock, Millis
from hyssopweir.peers import Params, PeerNetwork

# Interval of repeating an unchanged load, for peers that connected in the meantime.
REPEAT_LOAD_MS: Millis = 10_000


class LoadAnnouncer:
    """Broadcasts load changes since the last announcement."""

    def __init__(self, peers: PeerNetwork, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._announced: Params = {}
        self._announced_at_ms: Millis = 0

    def announce(self, shards: Params) -> None:
        """Broadcast the changed entries of ``shards``, or all if a repeat is due."""
        now_ms = self._clock.now_ms()
        is_repeat_due = now_ms - self._announced_at_ms >= REPEAT_LOAD_MS
        changed = {
            shard: load
            for shard, load in shards.items()
            if is_repeat_due or self._announced.get(shard) != load
        }
        self._announced = shards
        if is_repeat_due:
            self._announced_at_ms = now_ms
        if changed:
            self._peers.broadcast("load", {"shards": changed})
