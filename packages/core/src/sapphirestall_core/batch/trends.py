"""A quantity that varies smoothly, followed through rough readings.

The estimate holds a value, its slope and the covariance of both, as a Kalman
filter with white acceleration does.
"""

import attrs

# An estimate is not carried on along its slope for longer than this, in
# seconds; what varies by turns has turned by then.
MAX_EXTRAPOLATION_S = 1.0


@attrs.frozen(slots=True)
class Trend:
    """An estimate of a value and of its change.

    Attributes:
        slope: Change in a second.
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
    """Returns an estimate without a known slope."""
    return Trend(value, 0.0, variance, 0.0, slope_variance)


def predict(
    trend: Trend, elapsed_s: float, acceleration_variance: float
) -> Trend:
    """Returns the estimate after a time without readings.

    Args:
        trend: The estimate before.
        elapsed_s: Time since then, in seconds.
        acceleration_variance: Variance by which the slope changes in a second.
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
    """Returns the estimate after a reading.

    Args:
        trend: The estimate for the time of the reading.
        error: Reading less what the estimate lets expect.
        variance: Variance of that error, that of the estimate included.
        weight: Change of the reading with the value.
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
