"""Announcements of the load of the owned shards to the peers."""

from hyssopweir.clock import Clock, Millis
from hyssopweir.peers import Params, PeerNetwork

# Repeats an unchanged load, so that a peer that has connected since learns it.
REPEAT_LOAD_MS: Millis = 10_000


class LoadAnnouncer:
    """Send what has changed since the last announcement."""

    def __init__(self, peers: PeerNetwork, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._announced: Params = {}
        self._announced_at_ms: Millis = 0

    def announce(self, shards: Params) -> None:
        """Send the load of the shards whose load has changed to the peers."""
        now_ms = self._clock.now_ms()
        repeat = now_ms - self._announced_at_ms >= REPEAT_LOAD_MS
        changed = {
            shard: load
            for shard, load in shards.items()
            if repeat or self._announced.get(shard) != load
        }
        self._announced = shards
        if repeat:
            self._announced_at_ms = now_ms
        if changed:
            self._peers.broadcast("load", {"shards": changed})
