"""Faults of a run: a seeded plan and their injection from outside."""

import asyncio
import contextlib
import random
import signal
from collections.abc import Sequence
from enum import StrEnum
from functools import singledispatch
from typing import NamedTuple

from soak.deployment import Deployment
from soak.events import (
    ConfigurationWritten,
    Disturbance,
    EvacuationWritten,
    Millis,
    RunStarted,
)
from soak.instances import Instance
from soak.proxy import HOST, Address, LinkState, Proxy
from soak.shapes import EXTRA_QUEUE, configuration
from soak.store import EVACUATION_PREFIX, OPERATOR_TABLE

# Probability that a fault hits what the previous one of its kind hit.
REPEATED_SHARE = 0.4
NO_TARGET: Address = (HOST, 0)
# Versions of configurations increase in uneven steps.
MAX_VERSION_STEP = 4
# Shortest and longest durations. Some are shorter and some longer than a lease of 4 s,
# the three intervals after which an entry expires, and two attempts of a renewal.
REFUSAL_MS = (500, 3_000)
LINK_MS = (500, 7_000)
STORE_MS = (500, 6_000)
PAUSE_MS = (1_000, 7_000)
RESTART_MS = (300, 3_000)
CRASH_MS = (300, 5_000)
ISOLATION_MS = (1_000, 9_000)
QUEUE_MS = (3_000, 6_000)
EVACUATION_MS = (1_000, 9_000)
DELAY_MS = 250
# A worker that is short of processor time stands still for longer than the timeout of a
# renewal, again and again, and goes on for a moment in between.
STARVATION_MS = (5_000, 15_000)
STILL_MS = (700, 2_500)
SLICE_MS = (5, 100)
# Share of the starvations in which replies wait for the next slice, and of the slices
# in which the expiry of leases is handled before the calls that wait.
KEPT_REPLY_SHARE = 0.6
TIMER_FIRST_SHARE = 0.3
# Replies that are later than the timeout of a renewal, for longer than a lease.
SLOW_MS = (10_000, 20_000)
REPLY_DELAY_MS = (700, 1_800)
# Timers of a process that waits for its turn are late.
TIMER_DELAY_MS = (0, 300)
# An instance that is short of processor time runs in slices.
SLICES_MS = (5_000, 20_000)
STOPPED_MS = (300, 2_000)
RUNNING_MS = (50, 300)
# Share of the instances that are the owner.
OWNER_SHARE = 0.7
# Kinds that stand for a machine that is short of processor time.
STARVATION = "starve"
SLOW = "slow"
SLICES = "slices"
SHORTAGES = frozenset({STARVATION, SLICES, SLOW})
# An owner starts again within this time, while its calls are on the way for longer.
RETURN_MS = (100, 1_500)
HELD_MS = (1_000, 8_000)
# Share of the workers to which the calls of the owner are held up.
HELD_SHARE = 0.4
RETURN_PAUSE_MS = 3_000
# Share of the crashes after which the worker has a new id, and of the isolations in
# which the instances don't reach the worker either.
NEW_ID_SHARE = 0.4
CUT_SHARE = 0.6


class LinkFaultKind(StrEnum):
    """What a proxy does to a link."""

    REFUSE = "refuse"
    RESET = "reset"
    SILENCE = "silence"
    DELAY = "delay"
    CUT = "cut"
    CUT_REQUESTS = "cut-requests"
    CUT_REPLIES = "cut-replies"
    MISROUTE = "misroute"


CUT_STATES = {
    LinkFaultKind.CUT: LinkState(cuts_requests=True, cuts_replies=True),
    LinkFaultKind.CUT_REQUESTS: LinkState(cuts_requests=True),
    LinkFaultKind.CUT_REPLIES: LinkState(cuts_replies=True),
}
LINK_STATES = {**CUT_STATES, LinkFaultKind.DELAY: LinkState(delay_ms=DELAY_MS)}
# A store that is unreachable in these ways gets no entries of workers either.
UNREACHABLE_KINDS = frozenset({LinkFaultKind.REFUSE, LinkFaultKind.CUT})
# Kinds with the durations of ``REFUSAL_MS``.
REFUSING_KINDS = frozenset({LinkFaultKind.REFUSE, LinkFaultKind.MISROUTE})


class WorkerLinkFault(NamedTuple):
    """The link of all instances to a worker is disturbed."""

    at_ms: Millis
    duration_ms: Millis
    worker: int
    kind: LinkFaultKind


class StoreLinkFault(NamedTuple):
    """The links of some instances to the store are disturbed."""

    at_ms: Millis
    duration_ms: Millis
    instances: tuple[int, ...]
    kind: LinkFaultKind


class Pause(NamedTuple):
    """An instance is paused and goes on."""

    at_ms: Millis
    duration_ms: Millis
    instance: int


class Restart(NamedTuple):
    """An instance is killed or stopped, and started again."""

    at_ms: Millis
    duration_ms: Millis
    instance: int
    is_stopped: bool


class Slices(NamedTuple):
    """An instance runs in slices of processor time; the last owner if None."""

    at_ms: Millis
    duration_ms: Millis
    instance: int | None


class OwnerReturn(NamedTuple):
    """An owner starts again while its former calls to some workers are on the way.

    Its successor does the same afterwards, so that the first one may claim again.
    """

    at_ms: Millis
    duration_ms: Millis
    held_ms: Millis
    is_stopped: bool


class WorkerCrash(NamedTuple):
    """A worker crashes and starts again."""

    at_ms: Millis
    duration_ms: Millis
    worker: int
    has_new_id: bool


class Starvation(NamedTuple):
    """A worker is short of processor time."""

    at_ms: Millis
    duration_ms: Millis
    worker: int
    keeps_replies: bool


class SlowReplies(NamedTuple):
    """All replies of a worker come later than callers wait, and its timers are late."""

    at_ms: Millis
    duration_ms: Millis
    worker: int
    delay_ms: Millis
    timer_delay_ms: Millis


class Isolation(NamedTuple):
    """A worker doesn't reach the store, and perhaps no instance either."""

    at_ms: Millis
    duration_ms: Millis
    worker: int
    is_cut: bool


class QueueChange(NamedTuple):
    """The operator adds a queue and removes it after a while."""

    at_ms: Millis
    duration_ms: Millis


class Evacuation(NamedTuple):
    """The operator evacuates the data centre of a worker for a while."""

    at_ms: Millis
    duration_ms: Millis
    worker: int


Fault = (
    WorkerLinkFault
    | StoreLinkFault
    | Pause
    | Restart
    | Slices
    | OwnerReturn
    | WorkerCrash
    | Starvation
    | SlowReplies
    | Isolation
    | QueueChange
    | Evacuation
)

# Names on the command line with the weight that each has in a plan.
WEIGHTS = {
    "refuse": 4,
    "misroute": 2,
    "silence": 2,
    "reset": 1,
    "delay": 1,
    "cut": 2,
    "pause": 2,
    "kill": 1.5,
    "stop": 1,
    "crash": 1.5,
    "isolate": 1.5,
    "store": 2,
    "store-down": 0.5,
    "config": 1,
    "evacuate": 1,
    STARVATION: 2,
    SLOW: 1,
    "return": 1,
    SLICES: 1,
}
# The plan of a seed depends on the kinds; later ones are played by name only.
LATER_KINDS = (STARVATION, SLOW, "return", SLICES)
DEFAULT_KINDS = tuple(kind for kind in WEIGHTS if kind not in LATER_KINDS)


class Plan:
    """Seeded faults between two times, in series and overlapping."""

    def __init__(
        self, rng: random.Random, instances: int, workers: int, kinds: Sequence[str]
    ) -> None:
        self._rng = rng
        self._instances = instances
        self._workers = workers
        self._kinds = kinds
        self._instance = 0
        self._worker = 0

    def faults(self, start_ms: Millis, end_ms: Millis, gap_ms: Millis) -> list[Fault]:
        """Return faults that begin in the interval, ``gap_ms`` apart on average."""
        faults: list[Fault] = []
        at_ms = start_ms
        while True:
            at_ms += self._rng.expovariate(1 / gap_ms)
            if at_ms >= end_ms:
                return faults
            weights = [WEIGHTS[kind] for kind in self._kinds]
            kind = self._rng.choices(self._kinds, weights)[0]
            faults.append(self._fault(kind, at_ms))

    def _fault(self, kind: str, at_ms: Millis) -> Fault:
        rng = self._rng
        if rng.random() >= REPEATED_SHARE:
            self._instance = rng.randrange(self._instances)
            self._worker = rng.randrange(self._workers)
        match kind:
            case "pause":
                return Pause(at_ms, rng.uniform(*PAUSE_MS), self._instance)
            case "kill" | "stop":
                away_ms = rng.uniform(*RESTART_MS)
                return Restart(at_ms, away_ms, self._instance, kind == "stop")
            case "crash":
                away_ms = rng.uniform(*CRASH_MS)
                return WorkerCrash(
                    at_ms, away_ms, self._worker, rng.random() < NEW_ID_SHARE
                )
            case "slices":
                duration_ms = rng.uniform(*SLICES_MS)
                instance = None if rng.random() < OWNER_SHARE else self._instance
                return Slices(at_ms, duration_ms, instance)
            case "return":
                away_ms, held_ms = rng.uniform(*RETURN_MS), rng.uniform(*HELD_MS)
                return OwnerReturn(at_ms, away_ms, held_ms, rng.random() < 0.5)
            case "starve":
                duration_ms = rng.uniform(*STARVATION_MS)
                keeps_replies = rng.random() < KEPT_REPLY_SHARE
                return Starvation(at_ms, duration_ms, self._worker, keeps_replies)
            case "slow":
                times_ms = rng.uniform(*SLOW_MS), rng.uniform(*REPLY_DELAY_MS)
                late_ms = rng.uniform(*TIMER_DELAY_MS)
                return SlowReplies(
                    at_ms, times_ms[0], self._worker, times_ms[1], late_ms
                )
            case "isolate":
                duration_ms, is_cut = (
                    rng.uniform(*ISOLATION_MS),
                    rng.random() < CUT_SHARE,
                )
                return Isolation(at_ms, duration_ms, self._worker, is_cut)
            case "config":
                return QueueChange(at_ms, rng.uniform(*QUEUE_MS))
            case "evacuate":
                return Evacuation(at_ms, rng.uniform(*EVACUATION_MS), self._worker)
            case "store" | "store-down":
                kinds = [k for k in LinkFaultKind if k != LinkFaultKind.MISROUTE]
                is_all = kind == "store-down"
                hit = tuple(range(self._instances)) if is_all else (self._instance,)
                duration_ms = rng.uniform(*STORE_MS)
                return StoreLinkFault(at_ms, duration_ms, hit, rng.choice(kinds))
        link_kind = LinkFaultKind(kind)
        if link_kind is LinkFaultKind.CUT:
            link_kind = rng.choice(tuple(CUT_STATES))
        limits_ms = REFUSAL_MS if link_kind in REFUSING_KINDS else LINK_MS
        return WorkerLinkFault(at_ms, rng.uniform(*limits_ms), self._worker, link_kind)


class Injector:
    """Injects the faults of a plan into a deployment."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self.deployment = deployment
        self.rng = rng
        self.version = 0
        self.extra: tuple[str, ...] = ()
        self.busy: set[object] = set()

    async def run(self, faults: Sequence[Fault]) -> None:
        """Inject all faults and return when the last one is over."""
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._inject(fault))

    async def _inject(self, fault: Fault) -> None:
        left_ms = fault.at_ms - self.deployment.record.now_ms()
        await asyncio.sleep(max(left_ms, 0) / 1_000)
        await inject(fault, self)

    def note(
        self, kind: str, started_ms: Millis, instance: str = "", worker: str = ""
    ) -> None:
        """Record a fault that is over now."""
        now_ms = self.deployment.record.now_ms()
        self.deployment.record.add(
            Disturbance(started_ms, now_ms, kind, instance, worker)
        )

    def configure(self, extra: tuple[str, ...]) -> None:
        """Write a configuration with these queues beside the lasting ones."""
        self.version += self.rng.randint(1, MAX_VERSION_STEP)
        self.extra = extra
        deployment = self.deployment
        data = configuration(deployment.shape, self.version, extra)
        deployment.store.put(OPERATOR_TABLE, "config", data)
        queues = tuple(queue.name for queue in deployment.shape.queues) + extra
        deployment.record.add(
            ConfigurationWritten(deployment.record.now_ms(), self.version, queues)
        )


@singledispatch
async def inject(fault: Fault, injector: Injector) -> None:
    """Inject a fault and return when it is over."""
    raise TypeError(f"unknown fault {fault}")


@inject.register
async def _(fault: WorkerLinkFault, injector: Injector) -> None:
    sites = injector.deployment.sites
    site, other = sites[fault.worker], sites[(fault.worker + 1) % len(sites)]
    worker, started_ms = site.worker.life.worker, injector.deployment.record.now_ms()
    await _disturb(site.proxy, fault.kind, fault.duration_ms, other.target)
    injector.note(fault.kind, started_ms, worker=worker)


@inject.register
async def _(fault: StoreLinkFault, injector: Injector) -> None:
    deployment = injector.deployment
    names = [deployment.instances[number].name for number in fault.instances]
    started_ms = deployment.record.now_ms()
    proxies = [deployment.store_proxies[name] for name in names]
    is_down = len(names) > 1 and fault.kind in UNREACHABLE_KINDS
    deployment.is_store_down = deployment.is_store_down or is_down
    async with asyncio.TaskGroup() as group:
        for proxy in proxies:
            group.create_task(_disturb(proxy, fault.kind, fault.duration_ms))
    if is_down:
        deployment.is_store_down = False
    kind = f"store {fault.kind}"
    if len(names) > 1:
        injector.note(kind, started_ms)
        return
    injector.note(kind, started_ms, instance=names[0])


async def _disturb(
    proxy: Proxy,
    kind: LinkFaultKind,
    duration_ms: Millis,
    wrong_target: Address = NO_TARGET,
) -> None:
    duration_s = duration_ms / 1_000
    if kind is LinkFaultKind.REFUSE:
        await proxy.refuse()
        proxy.reset()
        await asyncio.sleep(duration_s)
        await proxy.admit()
    elif kind is LinkFaultKind.RESET:
        proxy.reset()
    elif kind is LinkFaultKind.SILENCE:
        proxy.silence()
    elif kind is LinkFaultKind.MISROUTE:
        with proxy.misrouted(wrong_target):
            await asyncio.sleep(duration_s)
    else:
        with proxy.degraded(LINK_STATES[kind]):
            await asyncio.sleep(duration_s)


@inject.register
async def _(fault: Pause, injector: Injector) -> None:
    instance = injector.deployment.instances[fault.instance]
    if instance.name in injector.busy:
        return
    injector.busy.add(instance.name)
    started_ms = injector.deployment.record.now_ms()
    instance.send(signal.SIGSTOP)
    await asyncio.sleep(fault.duration_ms / 1_000)
    instance.send(signal.SIGCONT)
    injector.busy.discard(instance.name)
    injector.note("pause", started_ms, instance=instance.name)


@inject.register
async def _(fault: Restart, injector: Injector) -> None:
    instance = injector.deployment.instances[fault.instance]
    if instance.name in injector.busy:
        return
    injector.busy.add(instance.name)
    started_ms = injector.deployment.record.now_ms()
    await _restart(instance, fault.is_stopped, fault.duration_ms)
    injector.busy.discard(instance.name)
    injector.note("stop" if fault.is_stopped else "kill", started_ms, instance.name)


async def _restart(instance: Instance, is_stopped: bool, away_ms: Millis) -> None:
    if is_stopped:
        await instance.stop()
    else:
        instance.kill()
    await asyncio.sleep(away_ms / 1_000)
    instance.start()


@inject.register
async def _(fault: Slices, injector: Injector) -> None:
    deployment, rng = injector.deployment, injector.rng
    if fault.instance is None:
        instance = _last_sender(deployment)
    else:
        instance = deployment.instances[fault.instance]
    if instance is None or instance.name in injector.busy:
        return
    injector.busy.add(instance.name)
    started_ms = deployment.record.now_ms()
    until_ms = started_ms + fault.duration_ms
    while deployment.record.now_ms() < until_ms:
        instance.send(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(*STOPPED_MS) / 1_000)
        instance.send(signal.SIGCONT)
        await asyncio.sleep(rng.uniform(*RUNNING_MS) / 1_000)
    injector.busy.discard(instance.name)
    injector.note(SLICES, started_ms, instance=instance.name)


@inject.register
async def _(fault: OwnerReturn, injector: Injector) -> None:
    async with asyncio.TaskGroup() as group:
        for _ in range(2):
            owner = _last_sender(injector.deployment)
            if owner is None or owner.name in injector.busy:
                return
            injector.busy.add(owner.name)
            started_ms = injector.deployment.record.now_ms()
            group.create_task(_hold_requests(injector, fault.held_ms))
            await _restart(owner, fault.is_stopped, fault.duration_ms)
            injector.busy.discard(owner.name)
            injector.note("return", started_ms, instance=owner.name)
            # A claim, and the first starts of the new owner.
            await asyncio.sleep(RETURN_PAUSE_MS / 1_000)


def _last_sender(deployment: Deployment) -> Instance | None:
    """Return the instance that a worker last began a run for."""
    senders = (
        event.sender
        for event in reversed(deployment.record.events)
        if isinstance(event, RunStarted)
    )
    name = next(senders, "")
    instances = (i for i in deployment.instances if i.name == name)
    return next(instances, None)


async def _hold_requests(injector: Injector, held_ms: Millis) -> None:
    started_ms = injector.deployment.record.now_ms()
    sites = injector.deployment.sites
    count = max(int(HELD_SHARE * len(sites)), 1)
    with contextlib.ExitStack() as stack:
        held = injector.rng.sample(sites, count)
        for site in held:
            stack.enter_context(site.proxy.requests_held())
        workers = [site.worker.life.worker for site in held]
        await asyncio.sleep(held_ms / 1_000)
    for worker in workers:
        injector.note("hold requests", started_ms, worker=worker)


@inject.register
async def _(fault: WorkerCrash, injector: Injector) -> None:
    site = injector.deployment.sites[fault.worker]
    if site in injector.busy:
        return
    injector.busy.add(site)
    started_ms, worker = injector.deployment.record.now_ms(), site.worker.life.worker
    await site.crash()
    await asyncio.sleep(fault.duration_ms / 1_000)
    await site.restart(fault.has_new_id)
    injector.busy.discard(site)
    injector.note("crash", started_ms, worker=worker)


@inject.register
async def _(fault: Starvation, injector: Injector) -> None:
    record, rng = injector.deployment.record, injector.rng
    site = injector.deployment.sites[fault.worker]
    if site in injector.busy:
        return
    injector.busy.add(site)
    worker, started_ms = site.worker, record.now_ms()
    until_ms = started_ms + fault.duration_ms
    while record.now_ms() < until_ms:
        worker.stand_still()
        await asyncio.sleep(rng.uniform(*STILL_MS) / 1_000)
        is_timer_first = rng.random() < TIMER_FIRST_SHARE
        worker.resume(is_timer_first, fault.keeps_replies)
        await asyncio.sleep(rng.uniform(*SLICE_MS) / 1_000)
    worker.resume(True, False)
    injector.busy.discard(site)
    injector.note(STARVATION, started_ms, worker=worker.life.worker)


@inject.register
async def _(fault: SlowReplies, injector: Injector) -> None:
    site = injector.deployment.sites[fault.worker]
    if site in injector.busy:
        return
    injector.busy.add(site)
    worker, started_ms = site.worker, injector.deployment.record.now_ms()
    worker.timer_delay_ms = fault.timer_delay_ms
    with site.proxy.degraded(LinkState(reply_delay_ms=fault.delay_ms)):
        await asyncio.sleep(fault.duration_ms / 1_000)
    worker.timer_delay_ms = 0
    injector.busy.discard(site)
    injector.note(SLOW, started_ms, worker=worker.life.worker)


@inject.register
async def _(fault: Isolation, injector: Injector) -> None:
    site = injector.deployment.sites[fault.worker]
    started_ms, worker = injector.deployment.record.now_ms(), site.worker.life.worker
    site.isolations += 1
    with site.proxy.degraded(LinkState(0, fault.is_cut, fault.is_cut)):
        await asyncio.sleep(fault.duration_ms / 1_000)
    site.isolations -= 1
    injector.note("isolate", started_ms, worker=worker)


@inject.register
async def _(fault: QueueChange, injector: Injector) -> None:
    if injector.extra:
        return
    injector.configure((EXTRA_QUEUE,))
    await asyncio.sleep(fault.duration_ms / 1_000)
    injector.configure(())


@inject.register
async def _(fault: Evacuation, injector: Injector) -> None:
    deployment = injector.deployment
    zone = deployment.shape.zones[fault.worker % len(deployment.shape.zones)]
    if (EVACUATION_PREFIX, zone) in injector.busy:
        return
    injector.busy.add((EVACUATION_PREFIX, zone))
    deployment.store.put(OPERATOR_TABLE, EVACUATION_PREFIX + zone, {})
    started_ms = deployment.record.now_ms()
    await asyncio.sleep(fault.duration_ms / 1_000)
    # Owners may learn of the removal before this returns.
    until_ms = deployment.record.now_ms()
    deployment.store.drop(OPERATOR_TABLE, EVACUATION_PREFIX + zone)
    injector.busy.discard((EVACUATION_PREFIX, zone))
    deployment.record.add(EvacuationWritten(started_ms, until_ms, zone))
