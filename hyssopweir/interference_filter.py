"""Kalman filter that estimates the interference of fillers with tasks of one image.

The utilization of a serving task is the sum of the load of its own users, which varies
and is the same for all tasks of a job, and of the interference of the co-located
fillers: the share of the worker that each uses, times a coefficient of the pair of
images. The filter tracks the coefficients of one serving image with their covariance,
and the loads of its jobs with one variance each.
"""

from collections.abc import Iterable, Mapping

from hyssopweir.clock import Millis

# Prior of a coefficient and its variance. A coefficient is the utilization added by a
# filler that uses a whole worker; for most pairs it is either 0.1 or 2.
INITIAL_COEFFICIENT = 0.6
INITIAL_VARIANCE = 0.7
MAX_COEFFICIENT = 5.0
# Below this variance, a coefficient separates harmful fillers from harmless ones.
RELIABLE_VARIANCE = 0.2
# Prior of the load of a job and its variance.
INITIAL_LOAD = 0.45
INITIAL_LOAD_VARIANCE = 0.04
# Growth of a load's variance per second; loads vary by a fifth within a few seconds.
LOAD_DRIFT = 0.02
# Growth of the variance of a coefficient per second; coefficients may change over time.
COEFFICIENT_DRIFT = 0.002
# A coefficient that was measured within the first time counts in full for the start of
# a filler; what counts of an older one halves in the second.
VALID_MS: Millis = 5_000
HALF_LIFE_MS: Millis = 5_000
# Variance of a measurement, and of one taken while fillers started or ended.
MEASUREMENT_VARIANCE = 0.006
UNSETTLED_VARIANCE = 0.025
# A job without a report for this long is assumed to have ended.
JOB_EXPIRY_MS: Millis = 10_000


class JobLoad:
    """Estimated load of a job by its own users, with the variance."""

    __slots__ = ("utilization", "variance", "updated_ms")

    def __init__(self, now_ms: Millis) -> None:
        self.utilization = INITIAL_LOAD
        self.variance = INITIAL_LOAD_VARIANCE
        self.updated_ms = now_ms


class InterferenceFilter:
    """Estimator of the coefficients of all filler images for one serving image."""

    def __init__(self) -> None:
        self.coefficients: dict[str, float] = {}
        self.loads: dict[str, JobLoad] = {}
        # Time of the last report of a task next to a filler of an image at work.
        self.measured_ms: dict[str, Millis] = {}
        self._covariance: dict[str, dict[str, float]] = {}
        self._last_drift_ms: Millis | None = None

    def coefficient(self, image: str) -> float:
        """Return the utilization that a whole worker of fillers of an image adds."""
        return min(
            max(self.coefficients.get(image, INITIAL_COEFFICIENT), 0.0), MAX_COEFFICIENT
        )

    def added_by(self, shares: Iterable[tuple[str, float]]) -> float:
        """Return the utilization that fillers add, by their images and CPU shares."""
        return sum(self.coefficient(image) * share for image, share in shares)

    def is_reliable(self, image: str) -> bool:
        """Return whether the variance of a coefficient is low enough to rely on it."""
        row = self._covariance.get(image)
        return row is not None and row[image] < RELIABLE_VARIANCE

    def variance(self, image: str) -> float:
        """Return the variance of a coefficient, that of the prior without a report."""
        row = self._covariance.get(image)
        return INITIAL_VARIANCE if row is None else row[image]

    def confidence(self, image: str, now_ms: Millis) -> float:
        """Return the share of a coefficient that counts for a new filler, 0 to 1.

        It decreases while no filler of the image runs; for a restored coefficient, from
        the first call on.
        """
        measured_ms = self.measured_ms.setdefault(image, now_ms)
        age_ms = max(now_ms - measured_ms - VALID_MS, 0)
        return float(0.5 ** (age_ms / HALF_LIFE_MS))

    def forget_old(self, image: str, now_ms: Millis) -> None:
        """Replace an old coefficient by what counts of it, with a high variance."""
        confidence = self.confidence(image, now_ms)
        if confidence < 1.0 and image in self.coefficients:
            self.coefficients[image] = confidence * self.coefficient(image)
            self._covariance[image] = {image: INITIAL_VARIANCE}
            for other, row in self._covariance.items():
                if other != image:
                    row.pop(image, None)
            self.measured_ms[image] = now_ms

    def baseline_load(self, job: str) -> float:
        """Return the utilization of a job's tasks without fillers, 0 to 1."""
        load = self.loads.get(job)
        return INITIAL_LOAD if load is None else min(max(load.utilization, 0.0), 1.0)

    def estimates(self) -> dict[str, tuple[float, float]]:
        """Return the coefficient and variance of each image, rounded for storage."""
        return {
            image: (round(coefficient, 3), round(self._covariance[image][image], 4))
            for image, coefficient in self.coefficients.items()
        }

    def restore(self, image: str, coefficient: float, variance: float) -> None:
        """Load a stored coefficient with its variance; covariances start at zero."""
        self.coefficients[image] = coefficient
        self._covariance[image] = {image: min(max(variance, 0.0), INITIAL_VARIANCE)}

    def observe(
        self,
        job: str,
        utilization: float,
        filler_shares: Mapping[str, float],
        is_settled: bool,
        now_ms: Millis,
    ) -> None:
        """Update the estimates from the utilization of one task next to fillers."""
        for image in filler_shares:
            if image not in self.coefficients:
                self.coefficients[image] = INITIAL_COEFFICIENT
                self._covariance[image] = {image: INITIAL_VARIANCE}
            if filler_shares[image] > 0 or image not in self.measured_ms:
                self.measured_ms[image] = now_ms
        self._apply_drift(now_ms)
        load = self._predict_load(job, now_ms)
        cross_covariances = {
            image: sum(
                row.get(other, 0.0) * share for other, share in filler_shares.items()
            )
            for image, row in self._covariance.items()
        }
        prior_variance = sum(
            cross_covariances[image] * share for image, share in filler_shares.items()
        )
        noise = MEASUREMENT_VARIANCE if is_settled else UNSETTLED_VARIANCE
        innovation_variance = prior_variance + load.variance + noise
        innovation = (
            utilization
            - load.utilization
            - sum(self.coefficients[i] * share for i, share in filler_shares.items())
        )
        load.utilization += load.variance / innovation_variance * innovation
        load.variance -= load.variance * load.variance / innovation_variance
        self._correct_coefficients(cross_covariances, innovation, innovation_variance)

    def _correct_coefficients(
        self,
        cross_covariances: Mapping[str, float],
        innovation: float,
        innovation_variance: float,
    ) -> None:
        for image, cross_covariance in cross_covariances.items():
            if not cross_covariance:
                continue
            self.coefficients[image] += (
                cross_covariance / innovation_variance * innovation
            )
            row = self._covariance[image]
            for other, other_covariance in cross_covariances.items():
                if other_covariance:
                    row[other] = (
                        row.get(other, 0.0)
                        - cross_covariance * other_covariance / innovation_variance
                    )

    def _apply_drift(self, now_ms: Millis) -> None:
        """Increase variances over time and drop the loads of ended jobs."""
        if self._last_drift_ms is None:
            self._last_drift_ms = now_ms
        elapsed_ms = now_ms - self._last_drift_ms
        if elapsed_ms < 1_000:
            return
        self._last_drift_ms = now_ms
        for image, row in self._covariance.items():
            increased = row[image] + COEFFICIENT_DRIFT * elapsed_ms / 1_000
            row[image] = min(increased, INITIAL_VARIANCE)
        for job, load in list(self.loads.items()):
            if now_ms - load.updated_ms > JOB_EXPIRY_MS:
                del self.loads[job]

    def _predict_load(self, job: str, now_ms: Millis) -> JobLoad:
        load = self.loads.get(job)
        if load is None:
            load = self.loads[job] = JobLoad(now_ms)
        elapsed_ms = now_ms - load.updated_ms
        increased = load.variance + LOAD_DRIFT * elapsed_ms / 1_000
        load.variance = min(increased, INITIAL_LOAD_VARIANCE)
        load.updated_ms = now_ms
        return load
