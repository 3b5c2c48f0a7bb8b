"""Harm of fillers to the tasks of one image, estimated from their reported tails.

The use of a task's capacity is the load of its own users, which swings and is the same
for all tasks of a job, and the sum of what the fillers beside it take: the share of the
worker that each uses, times a figure of the pair of images. A Kalman filter follows the
figures of the image and, one variance each, the loads of the jobs.
"""

from collections.abc import Iterable, Mapping

from hyssopweir.clock import Millis

# What a filler that uses a whole worker takes, before the pair of images was observed,
# and the variance of that guess: most pairs take either a tenth or two.
UNKNOWN_HARM = 0.6
UNKNOWN_VARIANCE = 0.7
MOST_HARM = 5.0
# Below that variance, a figure tells harmful fillers from harmless ones.
KNOWN_VARIANCE = 0.2
# The load of a job, before it was observed.
UNKNOWN_LOAD = 0.45
LOAD_VARIANCE = 0.04
# Growth of a load's variance in a second; loads swing by a fifth in some seconds.
LOAD_DRIFT = 0.02
# Figures may change; the growth of their variance in a second.
HARM_DRIFT = 0.002
# Variance of a reading, and of one that covers fillers that have come or gone.
READING_VARIANCE = 0.006
UNSETTLED_VARIANCE = 0.025
# Jobs that were not reported for that long have ended.
FORGET_MS: Millis = 10_000


class JobLoad:
    """Hold the estimated load of a job's own users, with its variance."""

    __slots__ = ("use", "variance", "at_ms")

    def __init__(self, now_ms: Millis) -> None:
        self.use = UNKNOWN_LOAD
        self.variance = LOAD_VARIANCE
        self.at_ms = now_ms


class InterferenceFilter:
    """Estimate the figures of all filler images for one image of tasks that last."""

    def __init__(self) -> None:
        self.harm: dict[str, float] = {}
        self.loads: dict[str, JobLoad] = {}
        self._covariance: dict[str, dict[str, float]] = {}
        self._drifted_ms: Millis | None = None

    def of(self, image: str) -> float:
        """Return the use that a whole worker of fillers of an image adds."""
        return min(max(self.harm.get(image, UNKNOWN_HARM), 0.0), MOST_HARM)

    def taken_by(self, shares: Iterable[tuple[str, float]]) -> float:
        """Return the use that fillers add, by their images and shares of a worker."""
        return sum(self.of(image) * share for image, share in shares)

    def is_known(self, image: str) -> bool:
        """Tell whether the figure of an image was observed well enough to rely on."""
        row = self._covariance.get(image)
        return row is not None and row[image] < KNOWN_VARIANCE

    def load_of(self, job: str) -> float:
        """Return the use of a job's tasks without fillers, 0 to 1."""
        load = self.loads.get(job)
        return UNKNOWN_LOAD if load is None else min(max(load.use, 0.0), 1.0)

    def figures(self) -> dict[str, tuple[float, float]]:
        """Return the figure of each image and its variance."""
        return {
            image: (round(harm, 3), round(self._covariance[image][image], 4))
            for image, harm in self.harm.items()
        }

    def restore(self, image: str, harm: float, variance: float) -> None:
        """Continue from a figure that was learned before."""
        self.harm[image] = harm
        self._covariance[image] = {image: min(max(variance, 0.0), UNKNOWN_VARIANCE)}

    def note(
        self,
        job: str,
        use: float,
        mix: Mapping[str, float],
        is_settled: bool,
        now_ms: Millis,
    ) -> None:
        """Learn from the use of one task beside a mix of fillers."""
        for image in mix:
            if image not in self.harm:
                self.harm[image] = UNKNOWN_HARM
                self._covariance[image] = {image: UNKNOWN_VARIANCE}
        self._drift(now_ms)
        load = self._load_at(job, now_ms)
        gains = {
            image: sum(row.get(other, 0.0) * share for other, share in mix.items())
            for image, row in self._covariance.items()
        }
        known = sum(gains[image] * share for image, share in mix.items())
        noise = READING_VARIANCE if is_settled else UNSETTLED_VARIANCE
        total = known + load.variance + noise
        error = use - load.use - sum(self.harm[i] * share for i, share in mix.items())
        load.use += load.variance / total * error
        load.variance -= load.variance * load.variance / total
        self._correct(gains, error, total)

    def _correct(self, gains: Mapping[str, float], error: float, total: float) -> None:
        for image, gain in gains.items():
            if not gain:
                continue
            self.harm[image] += gain / total * error
            row = self._covariance[image]
            for other, other_gain in gains.items():
                if other_gain:
                    row[other] = row.get(other, 0.0) - gain * other_gain / total

    def _drift(self, now_ms: Millis) -> None:
        """Trust older figures less, and drop the loads of jobs that have ended."""
        if self._drifted_ms is None:
            self._drifted_ms = now_ms
        passed_ms = now_ms - self._drifted_ms
        if passed_ms < 1_000:
            return
        self._drifted_ms = now_ms
        for image, row in self._covariance.items():
            grown = row[image] + HARM_DRIFT * passed_ms / 1_000
            row[image] = min(grown, UNKNOWN_VARIANCE)
        for job, load in list(self.loads.items()):
            if now_ms - load.at_ms > FORGET_MS:
                del self.loads[job]

    def _load_at(self, job: str, now_ms: Millis) -> JobLoad:
        load = self.loads.get(job)
        if load is None:
            load = self.loads[job] = JobLoad(now_ms)
        passed_ms = now_ms - load.at_ms
        grown = load.variance + LOAD_DRIFT * passed_ms / 1_000
        load.variance = min(grown, LOAD_VARIANCE)
        load.at_ms = now_ms
        return load
