"""Checks of the soak: each finds a breach and accepts the allowed case next to it."""

from collections.abc import Callable, Iterator

import pytest

from soak.checks import (
    Breach,
    find_double_runs,
    find_lost_jobs,
    find_old_configurations,
    find_overloads,
    find_refused_runs,
    find_starts_after_listed_ends,
    find_starts_in_evacuations,
    find_stuck_jobs,
    find_unasked_runs,
)
from soak.event_builders import (
    INSTANCE,
    EventBuilder,
    foreign_checkpoint,
    task_name,
)
from soak.faults import SHORTAGES
from soak.history import History
from soak.worker import checkpoint

Check = Callable[[History], Iterator[Breach]]


def rules(check: Check, builder: EventBuilder) -> list[str]:
    return [breach.rule for breach in check(History(builder.events))]


def accepted_job(**fields: bool) -> EventBuilder:
    return EventBuilder(**fields).call("POST", 100)


def test_two_runs_of_one_task_at_once_are_found() -> None:
    builder = EventBuilder().run(100, 900).run(500, 1_200, number=2, worker="w2")
    assert rules(find_double_runs, builder) == ["TWICE"]


def test_run_beside_one_that_has_no_end_is_found() -> None:
    builder = EventBuilder().run(100).run(9_000, number=2, worker="w2")
    assert rules(find_double_runs, builder) == ["TWICE"]


@pytest.mark.parametrize("how", ["lapsed", "failed", "crashed", "stopped"])
def test_run_after_an_end_without_success_is_allowed(how: str) -> None:
    builder = EventBuilder().run(100, 500, how, 600).run(500, number=2, worker="w2")
    assert rules(find_double_runs, builder) == []


def test_runs_of_different_tasks_at_once_are_allowed() -> None:
    builder = EventBuilder().run(100, 900).run(500, 1_200, task=task_name(1))
    assert rules(find_double_runs, builder) == []


@pytest.mark.parametrize("noted_ms", [600, 5_000])
def test_start_after_an_end_as_done_that_is_noted_is_found(noted_ms: int) -> None:
    """Guards against a check that looks only at ends noted before the start."""
    builder = EventBuilder().run(100, 500, noted_ms=noted_ms).disturb(0, 5_000)
    builder.run(900, number=2, worker="w2")
    assert rules(find_double_runs, builder) == ["TWICE"]


def test_start_after_an_end_as_done_that_is_never_noted_is_allowed() -> None:
    builder = EventBuilder().run(100, 500).run(900, number=2, worker="w2")
    assert rules(find_double_runs, builder) == []


def test_start_after_an_end_as_done_that_was_listed_is_found() -> None:
    builder = EventBuilder().run(100, 500, listed_ms=700)
    builder.run(600, number=2, worker="w2")
    assert rules(find_starts_after_listed_ends, builder) == ["TWICE"]


@pytest.mark.parametrize("kind", sorted(SHORTAGES))
def test_listed_end_beside_a_shortage_is_told_apart(kind: str) -> None:
    builder = EventBuilder().run(100, 500, listed_ms=700)
    builder.run(600, number=2, worker="w2").disturb(0, 900, kind=kind)
    [breach] = find_starts_after_listed_ends(History(builder.events))
    assert "short of processor time" in breach.text


def test_start_after_a_listed_end_is_allowed_near_a_fault() -> None:
    builder = EventBuilder().run(100, 500, listed_ms=700)
    builder.run(600, number=2, worker="w2").disturb(0, 50)
    assert rules(find_starts_after_listed_ends, builder) == []


def test_start_after_a_listed_end_that_was_noted_is_found_once() -> None:
    builder = EventBuilder().run(100, 500, noted_ms=900, listed_ms=700)
    builder.run(1_000, number=2, worker="w2")
    assert rules(find_starts_after_listed_ends, builder) == []
    assert rules(find_double_runs, builder) == ["TWICE"]


def test_start_over_a_second_after_a_noted_end_is_found_in_touch() -> None:
    builder = EventBuilder().run(100, 500, noted_ms=600)
    builder.run(1_700, number=2, worker="w2")
    assert rules(find_double_runs, builder) == ["TWICE", "TWICE"]


def test_start_after_the_job_was_shown_as_completed_is_found() -> None:
    builder = EventBuilder().run(100, 500).call("GET", 600, state="completed")
    builder.run(1_700, number=2, worker="w2")
    assert rules(find_double_runs, builder) == ["TWICE"]


def test_start_soon_after_the_job_was_shown_as_completed_is_allowed() -> None:
    builder = EventBuilder().run(100, 500).call("GET", 600, state="completed")
    builder.run(1_500, number=2, worker="w2")
    assert rules(find_double_runs, builder) == []


def test_start_after_a_shown_completion_is_allowed_out_of_touch() -> None:
    builder = EventBuilder().run(100, 500).call("GET", 600, state="completed")
    builder.run(1_700, number=2, worker="w2").disturb(800, 900, instance=INSTANCE)
    assert rules(find_double_runs, builder) == []


def test_start_that_was_held_up_after_a_shown_completion_is_allowed() -> None:
    builder = EventBuilder().run(100, 500).call("GET", 600, state="completed")
    builder.run(1_700, number=2, worker="w2", is_late=True)
    assert rules(find_double_runs, builder) == []


def test_run_of_a_job_that_nobody_sent_is_found() -> None:
    builder = EventBuilder().run(100, task=task_name(job="00000000000000bb"))
    assert rules(find_unasked_runs, builder) == ["UNASKED"]


def test_run_of_a_task_beyond_the_step_is_found() -> None:
    builder = EventBuilder(tasks=2).run(100, task=task_name(2))
    assert rules(find_unasked_runs, builder) == ["UNASKED"]


def test_run_with_another_payload_is_found() -> None:
    builder = EventBuilder().run(100, payload="other")
    assert rules(find_unasked_runs, builder) == ["UNASKED"]


def test_run_with_the_checkpoint_of_another_task_is_found() -> None:
    builder = EventBuilder().run(100, saved=foreign_checkpoint())
    assert rules(find_unasked_runs, builder) == ["UNASKED"]


def test_run_with_its_own_checkpoint_is_allowed() -> None:
    builder = EventBuilder().run(100, saved=checkpoint(task_name(), 500))
    assert rules(find_unasked_runs, builder) == []


def test_start_long_after_a_cancel_is_found() -> None:
    builder = accepted_job().call("DELETE", 1_000).run(4_100, 4_150)
    assert rules(find_unasked_runs, builder) == ["UNASKED"]


def test_start_soon_after_a_cancel_is_allowed() -> None:
    builder = accepted_job().call("DELETE", 1_000).run(3_900, 4_100)
    assert rules(find_unasked_runs, builder) == []


def test_start_after_a_cancel_is_allowed_if_it_was_held_up() -> None:
    builder = accepted_job().call("DELETE", 1_000).run(4_100, 9_000, is_late=True)
    assert rules(find_unasked_runs, builder) == []


def test_run_of_an_order_that_was_held_up_and_goes_on_after_a_cancel_is_found() -> None:
    builder = accepted_job().call("DELETE", 1_000).run(4_100, 10_400, is_late=True)
    assert rules(find_unasked_runs, builder) == ["UNASKED"]


def test_run_whose_limit_after_a_cancel_is_not_recorded_is_allowed() -> None:
    builder = accepted_job().run(500).call("DELETE", 1_000).end_calm(4_000)
    assert rules(find_unasked_runs, builder) == []


def test_run_that_goes_on_after_a_cancel_is_found() -> None:
    builder = accepted_job().run(500, 4_300).call("DELETE", 1_000)
    assert rules(find_unasked_runs, builder) == ["UNASKED"]


def test_run_that_goes_on_after_a_cancel_is_allowed_near_a_fault() -> None:
    builder = accepted_job().run(500, 4_300).call("DELETE", 1_000)
    assert rules(find_unasked_runs, builder.disturb(2_000, 2_500, worker="w9")) == []


def test_run_that_is_stopped_in_time_after_a_cancel_is_allowed() -> None:
    builder = accepted_job().run(500, 4_100, "stopped").call("DELETE", 1_000)
    assert rules(find_unasked_runs, builder) == []


def test_start_beyond_the_capacity_is_found_beside_a_run_being_stopped() -> None:
    builder = EventBuilder(cpu=2_000).run(100).run(200, task=task_name(1))
    builder.run(250, task=task_name(2), worker="w2")
    builder.run(300, 400, "stopped", task=task_name(3), stopping_ms=310)
    assert rules(find_overloads, builder) == ["LIMIT"]


def test_start_into_capacity_that_became_free_is_allowed() -> None:
    builder = EventBuilder(cpu=2_000).run(100, 250).run(200, task=task_name(1))
    builder.run(250, task=task_name(2))
    assert rules(find_overloads, builder) == []


def test_accepted_job_that_is_not_known_later_is_found() -> None:
    builder = accepted_job().call("GET", 3_200, 410)
    assert rules(find_lost_jobs, builder) == ["LOST"]


def test_accepted_job_that_is_not_visible_yet_is_allowed() -> None:
    builder = accepted_job().call("GET", 3_000, 410)
    assert rules(find_lost_jobs, builder) == []


def test_unknown_job_is_allowed_out_of_touch_and_after_a_cancel() -> None:
    builder = accepted_job().call("GET", 3_200, 410)
    assert rules(find_lost_jobs, builder.disturb(3_000, 3_100)) == []
    builder = accepted_job().call("DELETE", 200).call("GET", 3_200, 410)
    assert rules(find_lost_jobs, builder) == []


@pytest.mark.parametrize("state", ["failed", "cancelled"])
def test_state_without_a_cause_is_found(state: str) -> None:
    builder = accepted_job().run(200, 300, "failed").call("GET", 900, state=state)
    assert rules(find_lost_jobs, builder) == ["LOST"]


def test_job_is_shown_as_failed_after_its_attempts() -> None:
    builder = accepted_job().run(200, 300, "failed")
    builder.run(400, 500, "failed", number=2).call("GET", 900, state="failed")
    assert rules(find_lost_jobs, builder) == []


def test_job_is_shown_as_cancelled_after_a_cancel_without_a_response() -> None:
    builder = accepted_job().call("DELETE", 200, 0).call("GET", 900, state="cancelled")
    assert rules(find_lost_jobs, builder) == []


def test_job_of_which_nothing_runs_at_the_end_is_found() -> None:
    builder = accepted_job().run(200, 900, "lapsed").call("GET", 5_000, state="active")
    assert rules(find_stuck_jobs, builder.end_calm(5_100)) == ["LOST"]


def test_job_without_a_state_at_the_end_is_found() -> None:
    builder = accepted_job().run(200, 4_000).call("GET", 5_000, 0)
    assert rules(find_stuck_jobs, builder.end_calm(5_100)) == ["LOST"]


@pytest.mark.parametrize(("end_ms", "state"), [(2_200, "active"), (900, "completed")])
def test_job_that_goes_on_or_is_over_at_the_end_is_allowed(
    end_ms: int, state: str
) -> None:
    builder = accepted_job().run(200, end_ms).call("GET", 5_000, state=state)
    assert rules(find_stuck_jobs, builder.end_calm(5_100)) == []


def test_job_that_runs_on_and_on_in_the_calm_is_found() -> None:
    """Guards against tasks that are stopped and started again without an end."""
    builder = accepted_job().run(200, 40_000, "stopped")
    builder.run(40_010, number=2, worker="w2").call("GET", 40_500, state="active")
    assert rules(find_stuck_jobs, builder.end_calm(40_600)) == ["LOST"]


def test_job_that_runs_on_after_a_short_calm_is_allowed() -> None:
    builder = accepted_job().run(200, 40_000, "stopped")
    builder.run(40_010, number=2, worker="w2").call("GET", 40_500, state="active")
    assert rules(find_stuck_jobs, builder.end_calm(40_600, 30_000)) == []


def test_lasting_task_that_is_not_at_work_at_the_end_is_found() -> None:
    """Guards against a check that is content with the other tasks of the job."""
    builder = EventBuilder(tasks=2, is_endless=True).call("POST", 100).run(200)
    builder.run(200, 3_000, "failed", task=task_name(1))
    builder.call("GET", 9_000, state="active").end_calm(9_100)
    assert rules(find_stuck_jobs, builder) == ["LOST"]


def test_lasting_task_whose_run_ended_a_moment_ago_is_allowed() -> None:
    builder = EventBuilder(tasks=2, is_endless=True).call("POST", 100).run(200)
    builder.run(200, 3_200, "failed", task=task_name(1))
    builder.call("GET", 9_000, state="active").end_calm(9_100)
    assert rules(find_stuck_jobs, builder) == []


def test_removed_queue_that_is_still_served_is_found() -> None:
    builder = EventBuilder().configure(0, 1, "quick", "extra")
    builder.configure(1_000, 3, "quick").call("GET", 3_100, 410, queue="extra")
    assert rules(find_old_configurations, builder) == ["CONFIG"]


def test_added_queue_that_is_not_found_is_found() -> None:
    builder = EventBuilder().configure(0, 1, "quick")
    builder.configure(1_000, 3, "quick", "extra").call("GET", 3_100, 404, queue="extra")
    assert rules(find_old_configurations, builder) == ["CONFIG"]


def test_old_configuration_is_allowed_for_a_while_and_out_of_touch() -> None:
    builder = EventBuilder().configure(0, 1, "quick")
    builder.configure(1_000, 3, "quick", "extra").call("GET", 2_900, 404, queue="extra")
    assert rules(find_old_configurations, builder) == []
    builder.call("GET", 3_100, 404, queue="extra").disturb(500, 600)
    assert rules(find_old_configurations, builder) == []


def test_queue_that_comes_back_may_be_missing_for_a_while() -> None:
    builder = EventBuilder().configure(0, 1, "quick", "extra")
    builder.configure(5_000, 3, "quick").configure(5_500, 4, "quick", "extra")
    builder.call("GET", 6_900, 404, queue="extra")
    assert rules(find_old_configurations, builder) == []


def test_run_of_a_rejected_job_is_found() -> None:
    builder = EventBuilder().call("POST", 100, 503).call("POST", 300, 429).run(500)
    assert rules(find_refused_runs, builder) == ["REFUSED"]


@pytest.mark.parametrize("status", [0, 200, 502, 504])
def test_run_after_an_attempt_that_may_have_been_accepted_is_allowed(
    status: int,
) -> None:
    builder = EventBuilder().call("POST", 100, 503).call("POST", 300, status).run(500)
    assert rules(find_refused_runs, builder) == []


def test_start_in_an_evacuated_data_centre_is_found() -> None:
    builder = EventBuilder().evacuate(1_000, 9_000).disturb(0, 9_000).run(6_001)
    assert rules(find_starts_in_evacuations, builder) == ["EVACUATION"]


@pytest.mark.parametrize(
    ("start_ms", "zone"),
    [(900, "north"), (5_999, "north"), (9_001, "north"), (7_000, "south")],
)
def test_start_beside_an_evacuation_is_allowed(start_ms: int, zone: str) -> None:
    builder = EventBuilder().evacuate(1_000, 9_000, zone).run(start_ms)
    assert rules(find_starts_in_evacuations, builder) == []
