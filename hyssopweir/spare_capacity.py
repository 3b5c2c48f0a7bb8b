"""Capacity of a cell that its heartbeats offer to the work of other cells."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from hyssopweir.agents import WorkerState
from hyssopweir.cell_heartbeats import MAX_PRIORITIES, FittingTasks, SpareCapacity
from hyssopweir.cell_scheduler import PlacementKey, placement_key
from hyssopweir.cell_spread import count_by_size
from hyssopweir.cell_state import CellState
from hyssopweir.resources import Resources
from hyssopweir.step_placement import can_fit_later
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflows import Step

# Workers whose free capacity a heartbeat states at least, about 20 bytes each.
MIN_LISTED_WORKERS = 6


def spare_capacity(state: CellState) -> dict[str, SpareCapacity]:
    """Compute the spare capacity of a cell for each service."""
    free_cpu: Counter[str] = Counter()
    free_by_service: dict[str, list[Resources]] = {}
    for link in state.links.values():
        load, service = link.load, link.entry.service
        if load.is_confirmed and load.is_listed and not load.is_evacuated:
            left = load.free.minus(kept_on(load, state))
            free_cpu[service] += max(left.cpu, 0)
            free = free_by_service.setdefault(service, [])
            if load.accepts_tasks(state.now_ms()):
                free.append(left)
    capacities = {
        service: SpareCapacity(free_cpu[service], largest=largest_free(free))
        for service, free in free_by_service.items()
    }
    waiting_cpu: Counter[str] = Counter()
    fits_by_key: dict[PlacementKey, bool] = {}
    for job in list(state.unplaced):
        with state.guard(job):
            progress = state.jobs[job]
            service = progress.workflow.service
            for key, step in progress.active_steps():
                step_key = placement_key(service, step)
                if step_key not in fits_by_key:
                    fits_by_key[step_key] = can_ever_fit(service, step, state)
                if fits_by_key[step_key]:
                    waiting_cpu[service] += step.room.cpu * progress.count_waiting(key)
    for service, cpu in waiting_cpu.items():
        capacity = capacities.get(service, SpareCapacity())
        capacities[service] = capacity._replace(waiting_cpu=cpu)
    return capacities


def fitting_tasks(state: CellState) -> dict[str, FittingTasks]:
    """Compute by service how many tasks could start now, and what waits for that."""
    amounts: dict[str, list[Resources]] = {}
    for link in state.links.values():
        if link.load.accepts_tasks(state.now_ms()):
            left = link.load.free.minus(kept_on(link.load, state))
            amounts.setdefault(link.entry.service, []).append(left)
    waiting = _waiting_by_priority(state)
    return {
        service: FittingTasks(count_by_size(free), waiting.get(service, ()))
        for service, free in amounts.items()
    }


def _waiting_by_priority(state: CellState) -> dict[str, tuple[tuple[int, int], ...]]:
    """Return by service and priority the CPU that waiting tasks would reserve.

    Fillers reserve none. Beyond ``MAX_PRIORITIES``, the least urgent count as the last.
    """
    waiting: dict[str, Counter[int]] = {}
    fits_by_key: dict[PlacementKey, bool] = {}
    for job in list(state.unplaced):
        with state.guard(job):
            workflow = state.jobs[job].workflow
            for key, step in state.jobs[job].active_steps():
                if step.is_filler:
                    continue
                step_key = placement_key(workflow.service, step)
                if step_key not in fits_by_key:
                    fits = can_ever_fit(workflow.service, step, state)
                    fits_by_key[step_key] = fits
                if fits_by_key[step_key]:
                    cpu = step.charge.cpu * state.jobs[job].count_waiting(key)
                    by_priority = waiting.setdefault(workflow.service, Counter())
                    by_priority[workflow.priority] += cpu
    listed = {}
    for service, by_priority in waiting.items():
        pairs = sorted((p, cpu) for p, cpu in by_priority.items() if cpu)
        last = pairs[MAX_PRIORITIES - 1 :]
        if len(last) > 1:
            pairs[MAX_PRIORITIES - 1 :] = [(last[0][0], sum(cpu for _, cpu in last))]
        listed[service] = tuple(pairs)
    return listed


def reclaimable_capacity(state: CellState) -> dict[str, tuple[Resources, ...]]:
    """Compute by service what lost endless tasks of other cells could get here.

    The lost tasks of this cell go first, on the workers that are held for them.
    """
    amounts: dict[str, list[Resources]] = {}
    for link in state.links.values():
        if link.load.accepts_tasks(state.now_ms()):
            left = link.load.reclaimable.minus(kept_on(link.load, state))
            amounts.setdefault(link.entry.service, []).append(left)
    return {service: largest_free(left) for service, left in amounts.items()}


def kept_on(load: WorkerLoad, state: CellState) -> Resources:
    """Return the capacity of a worker that is kept for endless tasks of the cell."""
    return state.kept_capacity.get(load.entry.worker_id, Resources())


def subtract_from_largest(amounts: list[Resources], charge: Resources) -> bool:
    """Subtract a charge from the largest amount that fits it; return False if none."""
    fitting = [index for index, left in enumerate(amounts) if left.can_fit(charge)]
    if not fitting:
        return False
    index = max(fitting, key=amounts.__getitem__)
    amounts[index] = amounts[index].minus(charge)
    return True


def describe_spare(capacities: Mapping[str, SpareCapacity]) -> dict[str, Any]:
    """Return event fields with what heartbeats state about the spare capacity."""
    return {
        "waiting_cpu": {name: room.waiting_cpu for name, room in capacities.items()},
        "largest_free": {
            name: [[free.cpu, free.memory_mb] for free in room.largest]
            for name, room in capacities.items()
        },
    }


def describe_evacuated(state: CellState) -> dict[str, Any]:
    """Return event fields with the workers and runs in evacuated data centres."""
    names = state.evacuations.known_since_ms
    if not names:
        return {}
    loads = [link.load for link in state.links.values()]
    return {
        "evacuated": {
            name: {
                "workers": sum(load.entry.data_centre == name for load in loads),
                "runs": sum(
                    len(load.runs) for load in loads if load.entry.data_centre == name
                ),
            }
            for name in names
        }
    }


def can_ever_fit(service: str, step: Step, state: CellState) -> bool:
    """Return whether a worker has the capacity for a step once all tasks that end have.

    A task that no worker can run doesn't compete with others for their capacity.
    """
    return any(
        link.entry.service == service
        and link.load.is_listed
        and link.entry.state is WorkerState.READY
        and not link.load.is_evacuated
        and can_fit_later(step, link.load)
        for link in state.links.values()
    )


def largest_free(amounts: Iterable[Resources]) -> tuple[Resources, ...]:
    """Return amounts of which one fits whatever fits any of all amounts.

    These are the amounts that no other one exceeds in every component; further ones
    follow up to ``MIN_LISTED_WORKERS``.
    """
    largest: list[Resources] = []
    others: list[Resources] = []
    for free in sorted(amounts, reverse=True):
        is_exceeded = any(other.can_fit(free) for other in largest)
        (others if is_exceeded else largest).append(free)
    return (*largest, *others[: max(MIN_LISTED_WORKERS - len(largest), 0)])
