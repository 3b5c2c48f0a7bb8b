"""Users, load scenarios, and generators of their seeded requests and jobs."""

import random
from typing import Any, NamedTuple

from experiments.worker_model import InterferenceTable
from hyssopweir.clock import Millis
from hyssopweir.contracts import JobSpec
from hyssopweir.fleet import Worker

REQUEST_SPREAD = 0.2
# Each seed varies the values of the interference table by up to this share.
INTERFERENCE_SPREAD = 0.2
TASKS_PER_JOB = 8
WAVE_INTERVAL_MS: Millis = 10_000
WORKERS_PER_RACK = 8


class ServiceProfile(NamedTuple):
    idempotent: bool
    work_ms: float
    cores: float
    target_ms: int
    deadline_ms: Millis


class TaskKind(NamedTuple):
    """Declared and actual run time in ms, cores and memory in GB of a kind of task."""

    team: str
    share: float
    declared: tuple[int, float, float]
    actual: tuple[int, float, float]


class User(NamedTuple):
    worker_counts: dict[str, int]
    one_way_ms: float
    cores: float
    memory_gb: float
    weights: dict[str, float]


class LoadScenario(NamedTuple):
    """Faults and the load of requests and of tasks, each as a share of all slots."""

    request_load: float
    task_load: float
    mix: tuple[float, float, float] = (0.75, 0.18, 0.07)
    waves: bool = False
    failing: bool = False
    outage: bool = False
    duration_factor: float = 1.0


SERVICES = {
    "price-check": ServiceProfile(True, 20, 0.5, 60, 400),
    "banquet-offer": ServiceProfile(False, 400, 1.0, 1_000, 3_000),
    "plan-round": ServiceProfile(True, 1_500, 1.5, 4_000, 9_000),
}
# The declared cores and memory are too large for ledger-merge; photo-scan declares too
# few cores and menu-render too little memory.
KINDS = {
    "repaint-round": TaskKind("crews", 0.35, (12_000, 2.0, 6.0), (14_000, 1.6, 4.5)),
    "price-watch": TaskKind("buyers", 0.3, (10_000, 1.0, 3.0), (9_000, 0.8, 2.0)),
    "ledger-merge": TaskKind("office", 0.25, (8_000, 4.0, 14.0), (12_000, 1.0, 3.0)),
    "menu-render": TaskKind("office", 0.1, (8_000, 1.0, 2.0), (8_000, 1.0, 2.4)),
}
WAVE_KIND = TaskKind("crews", 0.0, (5_000, 1.0, 2.0), (6_000, 3.0, 1.4))
# Declares more memory than any worker has.
IMPOSSIBLE_KIND = TaskKind("office", 0.0, (5_000, 1.0, 4_000.0), (5_000, 1.0, 1.0))
# A service beside some kinds is nearly as fast as alone, so that the acceptance
# criteria can be met; whether they are depends on placement and routing.
INTERFERENCE: InterferenceTable = {
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
# The overload has fewer and longer requests and a shorter duration to keep its
# simulation feasible.
SCENARIOS = {
    "calm": LoadScenario(0.05, 0.25),
    "busy": LoadScenario(0.12, 0.6),
    "overload": LoadScenario(1.5, 0.25, mix=(0.1, 0.2, 0.7), duration_factor=0.45),
    "waves": LoadScenario(0.08, 0.25, waves=True),
    "failing": LoadScenario(0.1, 0.4, failing=True),
    "outage": LoadScenario(0.08, 0.4, outage=True),
}


class Arrival(NamedTuple):
    at_ms: float
    data_centre: str
    service: str
    work_ms: float


class Submission(NamedTuple):
    at_ms: float
    data_centre: str
    spec: JobSpec


def build_workers(user: User) -> list[Worker]:
    """Return the workers of a user, 8 in each rack."""
    return [
        Worker(
            f"{data_centre}-w{number}",
            "127.0.0.1",
            9_100 + number,
            data_centre,
            f"r{number // WORKERS_PER_RACK}",
            user.cores,
            user.memory_gb,
        )
        for data_centre, count in user.worker_counts.items()
        for number in range(count)
    ]


def draw_interference(seed: int) -> InterferenceTable:
    """Return the interference table of a seed, which the scheduler can't read."""
    rng = random.Random(f"harm {seed}")
    return {
        pair: value * rng.uniform(1 - INTERFERENCE_SPREAD, 1 + INTERFERENCE_SPREAD)
        for pair, value in INTERFERENCE.items()
    }


def generate_requests(
    user: User, scenario: LoadScenario, seed: int, end_ms: Millis
) -> list[Arrival]:
    """Return the requests of a trial in order of arrival."""
    rng = random.Random(f"requests {seed}")
    mean_ms = sum(
        share * service.work_ms
        for share, service in zip(scenario.mix, SERVICES.values(), strict=True)
    )
    arrivals_per_ms = scenario.request_load * _total_slots(user) / mean_ms
    data_centres, weights = list(user.worker_counts), list(user.worker_counts.values())
    arrivals, at_ms = [], rng.expovariate(arrivals_per_ms)
    while at_ms < end_ms:
        name = rng.choices(list(SERVICES), scenario.mix)[0]
        factor = rng.lognormvariate(0, REQUEST_SPREAD)
        data_centre = rng.choices(data_centres, weights)[0]
        work_ms = round(SERVICES[name].work_ms * factor, 3)
        arrivals.append(Arrival(at_ms, data_centre, name, work_ms))
        at_ms += rng.expovariate(arrivals_per_ms)
    return arrivals


def generate_jobs(
    user: User, scenario: LoadScenario, seed: int, end_ms: Millis
) -> list[Submission]:
    """Return the jobs of a trial in order of submission.

    The jobs of the initial load are submitted at time 0.
    """
    rng = random.Random(f"jobs {seed}")
    mean_ms = sum(kind.share * kind.actual[0] for kind in KINDS.values())
    tasks = scenario.task_load * _total_slots(user)
    times_ms = [0.0] * round(tasks / TASKS_PER_JOB)
    arrivals_per_ms = tasks / mean_ms / TASKS_PER_JOB
    at_ms = rng.expovariate(arrivals_per_ms)
    while at_ms < end_ms:
        times_ms.append(at_ms)
        at_ms += rng.expovariate(arrivals_per_ms)
    names, shares = list(KINDS), [kind.share for kind in KINDS.values()]
    data_centres = list(user.worker_counts)
    jobs = [
        _build_job(
            f"j{number}", rng.choices(names, shares)[0], rng.choice(data_centres), at_ms
        )
        for number, at_ms in enumerate(times_ms)
    ]
    jobs.append(_build_job("impossible", "impossible", data_centres[0], end_ms / 4))
    if scenario.waves:
        waves = range(WAVE_INTERVAL_MS, end_ms, WAVE_INTERVAL_MS)
        sizes = range(_total_slots(user) // 4 // TASKS_PER_JOB)
        jobs += [
            _build_job(
                f"wave{at_ms}-{n}", "photo-scan", rng.choice(data_centres), at_ms
            )
            for at_ms in waves
            for n in sizes
        ]
    return sorted(jobs, key=lambda job: job.at_ms)


def _build_job(name: str, kind_name: str, data_centre: str, at_ms: float) -> Submission:
    kind = {**KINDS, "photo-scan": WAVE_KIND, "impossible": IMPOSSIBLE_KIND}[kind_name]
    run_ms, cores, memory_gb = kind.declared
    work_ms, actual_cores, actual_memory_gb = kind.actual
    payload: dict[str, Any] = {
        "work_ms": work_ms,
        "cores": actual_cores,
        "memory_gb": actual_memory_gb,
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
    return Submission(at_ms, data_centre, spec)


def _total_slots(user: User) -> int:
    return sum(worker.slots for worker in build_workers(user))
