"""Users, scenarios, and the seeded requests and jobs of each."""

import random
from typing import Any, NamedTuple

from experiments.worker_model import Harm
from hyssopweir.clock import Millis
from hyssopweir.contracts import JobSpec
from hyssopweir.fleet import Worker

REQUEST_SPREAD = 0.2
# The hidden slowdowns of each seed differ from the table by up to this share.
HARM_SPREAD = 0.2
TASKS_PER_JOB = 8
WAVE_EVERY_MS: Millis = 10_000
WORKERS_PER_RACK = 8


class Service(NamedTuple):
    idempotent: bool
    work_ms: float
    cores: float
    target_ms: int
    deadline_ms: Millis


class Kind(NamedTuple):
    """Hold what callers declare of a kind of task, and what is true."""

    team: str
    share: float
    declared: tuple[int, float, float]
    true: tuple[int, float, float]


class User(NamedTuple):
    places: dict[str, int]
    one_way_ms: float
    cores: float
    memory_gb: float
    weights: dict[str, float]


class Scenario(NamedTuple):
    """Hold the load: of requests and of tasks, each as a share of all slots."""

    requests: float
    tasks: float
    mix: tuple[float, float, float] = (0.75, 0.18, 0.07)
    waves: bool = False
    failing: bool = False
    outage: bool = False
    span: float = 1.0


SERVICES = {
    "price-check": Service(True, 20, 0.5, 60, 400),
    "banquet-offer": Service(False, 400, 1.0, 1_000, 3_000),
    "plan-round": Service(True, 1_500, 1.5, 4_000, 9_000),
}
# Run time in ms, cores and memory in GB. Declarations are too large for ledger-merge,
# and too small for photo-scan (cores) and for menu-render (memory).
KINDS = {
    "repaint-round": Kind("crews", 0.35, (12_000, 2.0, 6.0), (14_000, 1.6, 4.5)),
    "price-watch": Kind("buyers", 0.3, (10_000, 1.0, 3.0), (9_000, 0.8, 2.0)),
    "ledger-merge": Kind("office", 0.25, (8_000, 4.0, 14.0), (12_000, 1.0, 3.0)),
    "menu-render": Kind("office", 0.1, (8_000, 1.0, 2.0), (8_000, 1.0, 2.4)),
}
WAVE = Kind("crews", 0.0, (5_000, 1.0, 2.0), (6_000, 3.0, 1.4))
# No worker is large enough.
IMPOSSIBLE = Kind("office", 0.0, (5_000, 1.0, 4_000.0), (5_000, 1.0, 1.0))
# A service beside kinds that hardly harm it is nearly as fast as alone, so that the
# aims can be reached; whether they are depends on what is placed and routed where.
HARM: Harm = {
    ("price-check", "price-watch"): 0.45,
    ("price-check", "repaint-round"): 0.02,
    ("price-check", "ledger-merge"): 0.03,
    ("price-check", "menu-render"): 0.05,
    ("price-check", "photo-scan"): 0.6,
    ("banquet-offer", "price-watch"): 0.1,
    ("banquet-offer", "repaint-round"): 0.25,
    ("banquet-offer", "ledger-merge"): 0.05,
    ("banquet-offer", "photo-scan"): 0.4,
    ("plan-round", "repaint-round"): 0.3,
    ("plan-round", "ledger-merge"): 0.15,
    ("plan-round", "photo-scan"): 0.2,
    ("repaint-round", "repaint-round"): 0.1,
    ("repaint-round", "price-watch"): 0.02,
    ("ledger-merge", "ledger-merge"): 0.15,
    ("ledger-merge", "photo-scan"): 0.2,
    ("price-watch", "photo-scan"): 0.1,
}
USERS = {
    "karribank": User(
        {"depot-north": 10, "depot-south": 8, "civic-hall": 8, "works-yard": 8},
        5,
        16.0,
        60.0,
        {"tail_latency": 1, "batch_throughput": 3, "evictions": 3},
    ),
    "norrstrom": User(
        {"kista": 8, "huddinge": 8, "arlanda": 8},
        3.5,
        32.0,
        125.0,
        {"tail_latency": 3, "batch_throughput": 1, "evictions": 1},
    ),
}
# Overload has fewer and longer requests, so that it can be run at all, and is shorter.
SCENARIOS = {
    "calm": Scenario(0.05, 0.25),
    "busy": Scenario(0.12, 0.6),
    "overload": Scenario(1.5, 0.25, mix=(0.1, 0.2, 0.7), span=0.45),
    "waves": Scenario(0.08, 0.25, waves=True),
    "failing": Scenario(0.1, 0.4, failing=True),
    "outage": Scenario(0.08, 0.4, outage=True),
}


class Arrival(NamedTuple):
    at_ms: float
    place: str
    service: str
    work_ms: float


class Submission(NamedTuple):
    at_ms: float
    place: str
    spec: JobSpec


def workers_of(user: User) -> list[Worker]:
    """Return the fleet of a user, 8 workers to a rack."""
    return [
        Worker(
            f"{place}-w{number}",
            "127.0.0.1",
            9_100 + number,
            place,
            f"r{number // WORKERS_PER_RACK}",
            user.cores,
            user.memory_gb,
        )
        for place, count in user.places.items()
        for number in range(count)
    ]


def harm_of(seed: int) -> Harm:
    """Return the hidden slowdowns of a seed."""
    rng = random.Random(f"harm {seed}")
    return {
        pair: value * rng.uniform(1 - HARM_SPREAD, 1 + HARM_SPREAD)
        for pair, value in HARM.items()
    }


def requests_of(
    user: User, scenario: Scenario, seed: int, until_ms: Millis
) -> list[Arrival]:
    """Return the requests of a run in the order of their arrival."""
    rng = random.Random(f"requests {seed}")
    mean_ms = sum(
        share * service.work_ms
        for share, service in zip(scenario.mix, SERVICES.values(), strict=True)
    )
    per_ms = scenario.requests * _slots(user) / mean_ms
    places, weights = list(user.places), list(user.places.values())
    arrivals, at_ms = [], rng.expovariate(per_ms)
    while at_ms < until_ms:
        name = rng.choices(list(SERVICES), scenario.mix)[0]
        factor = rng.lognormvariate(0, REQUEST_SPREAD)
        place = rng.choices(places, weights)[0]
        work_ms = round(SERVICES[name].work_ms * factor, 3)
        arrivals.append(Arrival(at_ms, place, name, work_ms))
        at_ms += rng.expovariate(per_ms)
    return arrivals


def jobs_of(
    user: User, scenario: Scenario, seed: int, until_ms: Millis
) -> list[Submission]:
    """Return the jobs of a run in the order of their submission.

    The tasks that run at the start are submitted at once.
    """
    rng = random.Random(f"jobs {seed}")
    mean_ms = sum(kind.share * kind.true[0] for kind in KINDS.values())
    tasks = scenario.tasks * _slots(user)
    times_ms = [0.0] * round(tasks / TASKS_PER_JOB)
    per_ms = tasks / mean_ms / TASKS_PER_JOB
    at_ms = rng.expovariate(per_ms)
    while at_ms < until_ms:
        times_ms.append(at_ms)
        at_ms += rng.expovariate(per_ms)
    names, shares = list(KINDS), [kind.share for kind in KINDS.values()]
    places = list(user.places)
    jobs = [
        _job(f"j{number}", rng.choices(names, shares)[0], rng.choice(places), at_ms)
        for number, at_ms in enumerate(times_ms)
    ]
    jobs.append(_job("impossible", "impossible", places[0], until_ms / 4))
    if scenario.waves:
        waves = range(WAVE_EVERY_MS, until_ms, WAVE_EVERY_MS)
        sizes = range(_slots(user) // 4 // TASKS_PER_JOB)
        jobs += [
            _job(f"wave{at_ms}-{n}", "photo-scan", rng.choice(places), at_ms)
            for at_ms in waves
            for n in sizes
        ]
    return sorted(jobs, key=lambda job: job.at_ms)


def _job(name: str, kind_name: str, place: str, at_ms: float) -> Submission:
    kind = {**KINDS, "photo-scan": WAVE, "impossible": IMPOSSIBLE}[kind_name]
    run_ms, cores, memory_gb = kind.declared
    work_ms, true_cores, true_gb = kind.true
    payload: dict[str, Any] = {
        "work_ms": work_ms,
        "cores": true_cores,
        "memory_gb": true_gb,
    }
    spec: JobSpec = {
        "job": name,
        "team": kind.team,
        "kind": kind_name,
        "tasks": TASKS_PER_JOB,
        "run_ms": run_ms,
        "cores": cores,
        "memory_gb": memory_gb,
        "payload": payload,
    }
    return Submission(at_ms, place, spec)


def _slots(user: User) -> int:
    return sum(worker.slots for worker in workers_of(user))
