"""Kalman filter for a quantity that varies smoothly.

An estimate holds a value, its slope and their covariance. The filter assumes
that the slope changes by white noise. It corrects the estimate by rough
measurements, which may be of a quantity that is proportional to the value.
"""

import attrs

# An estimate is extrapolated along its slope for at most this time, in seconds.
# Loads that go up and down have turned by then.
MAX_EXTRAPOLATION_S = 1.0


@attrs.frozen(slots=True)
class Trend:
    """Estimate of a value and of its slope.

    Attributes:
        value: Estimated value.
        slope: Change of the value per second.
        variance: Variance of the value.
        covariance: Covariance of value and slope.
        slope_variance: Variance of the slope.
    """

    value: float
    slope: float
    variance: float
    covariance: float
    slope_variance: float


def initialise(value: float, variance: float, slope_variance: float) -> Trend:
    """Returns an estimate before the first measurement.

    Args:
        value: Assumed value.
        variance: Variance of the value.
        slope_variance: Variance of the slope, which is assumed to be 0.
    """
    return Trend(value, 0.0, variance, 0.0, slope_variance)


def predict(
    trend: Trend, elapsed_s: float, acceleration_variance: float
) -> Trend:
    """Extrapolates an estimate over a time without measurements.

    Args:
        trend: The estimate at the start of this time.
        elapsed_s: Time since then, in seconds.
        acceleration_variance: Growth of the variance of the slope, per second.
    """
    extrapolated_s = min(elapsed_s, MAX_EXTRAPOLATION_S)
    variance = (
        trend.variance
        + 2 * extrapolated_s * trend.covariance
        + extrapolated_s**2 * trend.slope_variance
        + acceleration_variance * extrapolated_s**3 / 3
    )
    covariance = (
        trend.covariance
        + extrapolated_s * trend.slope_variance
        + acceleration_variance * extrapolated_s**2 / 2
    )
    return Trend(
        trend.value + trend.slope * extrapolated_s,
        trend.slope if elapsed_s <= MAX_EXTRAPOLATION_S else 0.0,
        variance,
        covariance,
        trend.slope_variance + acceleration_variance * extrapolated_s,
    )


def correct(
    trend: Trend, error: float, variance: float, weight: float = 1.0
) -> Trend:
    """Corrects an estimate by a measurement.

    Args:
        trend: The estimate, extrapolated to the time of the measurement.
        error: Measurement minus the one expected by the estimate.
        variance: Variance of this error, including that of the estimate.
        weight: Change of the measurement per change of the value.
    """
    gain = weight * trend.variance / variance
    slope_gain = weight * trend.covariance / variance
    return Trend(
        trend.value + gain * error,
        trend.slope + slope_gain * error,
        trend.variance * (1 - weight * gain),
        trend.covariance * (1 - weight * gain),
        trend.slope_variance - weight * slope_gain * trend.covariance,
    )
