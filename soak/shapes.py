"""Shapes of the deployments and of their load."""

import random
from typing import Any, NamedTuple

HOST_NAME = "crews.example"
# Queue that configurations add and remove while the run goes on.
EXTRA_QUEUE = "extra"
# Share by which the estimate of a step is off, and by which the tasks of a step differ;
# the latter is that of the users' sites.
ESTIMATE_SPREAD = 0.5
TASK_SPREAD = 0.3
MAX_STEPS = 4
MAX_WIDTH = 32
FAILED_SHARE = 0.02


class QueueShape(NamedTuple):
    """Load of a queue; ``steps`` and ``width`` are means."""

    name: str
    per_s: float
    steps: float
    width: float
    task_ms: int
    cpu: int
    memory_mb: int
    priority: int = 0
    max_attempts: int = 4
    is_endless: bool = False
    saves: bool = False


class DeploymentShape(NamedTuple):
    """Instances, workers and queues of a deployment."""

    name: str
    zones: tuple[str, ...]
    instances: int
    workers: int
    cpu: int
    memory_mb: int
    queues: tuple[QueueShape, ...]
    checkpoint_ms: int
    service: str = "lanternbook"
    rack_workers: int = 8


SMALL = DeploymentShape(
    "small",
    ("north", "south"),
    3,
    6,
    16_000,
    62_500,
    (
        QueueShape("quick", 1.2, 1.4, 4, 800, 1_600, 1_000, max_attempts=3),
        QueueShape("batch", 0.6, 1.6, 5, 2_000, 2_000, 2_000, 2, saves=True),
        QueueShape("watch", 0.1, 1, 3, 500, 1_500, 1_000, is_endless=True),
    ),
    1_000,
)
GASTABUD = DeploymentShape(
    "gastabud-offert",
    ("kista", "huddinge", "arlanda"),
    9,
    24,
    32_000,
    125_000,
    (
        QueueShape("menykoll", 3.17, 1.6, 6, 640, 2_300, 4_600, max_attempts=3),
        QueueShape("bankett-offert", 2.47, 2, 8, 2_200, 3_500, 6_400, 2, saves=True),
        QueueShape("bevakning", 0.103, 1, 6, 500, 6_400, 13_000, is_endless=True),
    ),
    1_000,
)
KARRIBANK = DeploymentShape(
    "karribank-lw",
    ("depot-north", "depot-south", "civic-hall", "works-yard"),
    7,
    34,
    16_000,
    62_500,
    (
        QueueShape("round-plan", 2.5, 1.6, 6, 800, 1_600, 3_000, max_attempts=3),
        QueueShape("colour-match", 4.28, 2, 8, 1_700, 1_800, 4_000, 2, saves=True),
        QueueShape("lift-booking", 0.141, 1, 6, 320, 3_000, 6_000, is_endless=True),
    ),
    2_000,
)
# Runs that outlast a lease, in jobs of one step.
KARRIBANK_LONG = KARRIBANK._replace(
    name="karribank-lw-long",
    queues=(
        QueueShape("round-plan", 1.2, 1.6, 6, 800, 1_600, 3_000, max_attempts=3),
        QueueShape("colour-match", 1.5, 0.1, 8, 4_300, 1_800, 4_000, 2, saves=True),
        QueueShape("lift-booking", 0.07, 1, 6, 320, 3_000, 6_000, is_endless=True),
    ),
)
SHAPES = {shape.name: shape for shape in (SMALL, GASTABUD, KARRIBANK, KARRIBANK_LONG)}


def job_body(queue: QueueShape, job: str, rng: random.Random) -> dict[str, Any]:
    """Build the body of a job."""
    # A step after one that lasts would never have its turn.
    steps = 1 if queue.is_endless else _count(queue.steps, MAX_STEPS, rng)
    phases = []
    for number in range(steps):
        phase: dict[str, Any] = {
            "count": _count(queue.width, MAX_WIDTH, rng),
            "cpu": queue.cpu,
            "memMb": queue.memory_mb,
            "estimatedMs": queue.task_ms,
        }
        if number:
            phase["after"] = [number - 1]
        if queue.saves:
            phase["checkpointing"] = True
        if queue.is_endless:
            phase["longRunning"] = True
        phases.append(phase)
    return {"spec": f"work of {job}", "phases": phases}


def _count(mean: float, high: int, rng: random.Random) -> int:
    return max(1, min(high, round(rng.expovariate(1 / mean))))


def configuration(
    shape: DeploymentShape, version: int, extra: tuple[str, ...]
) -> dict[str, Any]:
    """Build the operator's configuration with ``extra`` queues."""
    routes = [
        _route(shape, queue.name, queue.priority, queue.max_attempts)
        for queue in shape.queues
    ]
    routes += [_route(shape, name, 0, 1) for name in extra]
    service = {
        "name": shape.service,
        "healthPath": "/healthz",
        "maxConnections": 64,
        "protocol": "h1",
        "tls": False,
        "enforcesCapacity": False,
        "standby": False,
    }
    limits = {"maxBodyBytes": 262_144}
    return {
        "version": version,
        "routes": routes,
        "services": [service],
        "limits": limits,
    }


def _route(
    shape: DeploymentShape, name: str, priority: int, attempts: int
) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "kind": "non_idempotent",
        "timeoutMs": 3_000,
        "service": shape.service,
        "priority": priority,
        "maxAttempts": attempts,
        "stretchFactor": 1.5,
        "targetLatencyMs": 300,
    }
