"""Messages of servers' speed, as the state of routers and replicas."""

import math

from hickoryweir.feeds import messages
from hickoryweir.forwarding_policy import server_speed, service_rates

THOUSANDTHS = 1_000
TENTHS = 10
# Bounds the size of a message; the servers with the most samples are kept.
MAX_SPEEDS_COUNT = 500
MAX_SERVICES_COUNT = 20
# Above what all routers together collect within the window; larger ones are ignored.
WEIGHT_MAX = 10_000.0
COUNT_MAX = 1_000_000_000


def make_speed(
    server_id: str, speed: server_speed.Speed, now_s: float
) -> messages.ServerSpeed:
    """Return the message for what is known of a server.

    Examples
    --------
    >>> speed = server_speed.add_announced(server_speed.NO_SPEED, 2.0, 1.0)
    >>> message = make_speed("a", speed, 1.0)
    >>> message.announced_log_sum, message.announced_weight
    (693, 1000)
    >>> round(read_speed(message, 1.0).announced.log_sum, 3)
    0.693
    """
    announced = server_speed.decay(speed.announced, now_s)
    measured = server_speed.decay(speed.measured, now_s)
    return messages.ServerSpeed(
        server_id,
        round(THOUSANDTHS * announced.log_sum),
        round(THOUSANDTHS * announced.weight),
        round(THOUSANDTHS * measured.log_sum),
        round(THOUSANDTHS * measured.weight),
    )


def read_speed(message: messages.ServerSpeed, now_s: float) -> server_speed.Speed:
    """Return what a message says of a server; implausible samples are left out."""
    return server_speed.Speed(
        _read_samples(message.announced_log_sum, message.announced_weight, now_s),
        _read_samples(message.measured_log_sum, message.measured_weight, now_s),
    )


def _read_samples(log_sum: int, weight: int, now_s: float) -> server_speed.Samples:
    if not 0 < weight <= THOUSANDTHS * WEIGHT_MAX:
        return server_speed.NO_SAMPLES
    low, high = math.log(server_speed.SLOWNESS_MIN), math.log(server_speed.SLOWNESS_MAX)
    if not low <= log_sum / weight <= high:
        return server_speed.NO_SAMPLES
    return server_speed.Samples(log_sum / THOUSANDTHS, weight / THOUSANDTHS, now_s)


def make_speeds(
    speeds: dict[str, server_speed.Speed], now_s: float
) -> tuple[messages.ServerSpeed, ...]:
    """Return messages for the servers of which anything recent is known."""
    found = [make_speed(name, speed, now_s) for name, speed in speeds.items()]
    found = [item for item in found if item.announced_weight or item.measured_weight]
    found.sort(key=lambda item: -(item.announced_weight + item.measured_weight))
    return tuple(found[:MAX_SPEEDS_COUNT])


def make_samples(
    service_name: str, samples: service_rates.Histograms
) -> messages.ServiceSamples:
    """Return the message for the samples of a service."""
    return messages.ServiceSamples(
        service_name,
        tuple(round(TENTHS * count) for count in samples.rates),
        tuple(round(TENTHS * count) for count in samples.steps),
        tuple(round(THOUSANDTHS * value) for value in samples.forecasts),
    )


def read_samples(message: messages.ServiceSamples) -> service_rates.Histograms:
    """Return the samples in a message, none if it has other bins or absurd counts.

    Examples
    --------
    >>> message = make_samples("app", service_rates.add_step(service_rates.NO_SAMPLES,
    ...     0.005))
    >>> sum(read_samples(message).steps)
    1.0
    >>> read_samples(messages.ServiceSamples("app", (1,), ())).steps[0]
    0.0
    """
    has_bins = (
        len(message.rates) == service_rates.RATE_BINS_COUNT
        and len(message.steps) == service_rates.STEP_BINS_COUNT
    )
    counts = (*message.rates, *message.steps)
    if not has_bins or not all(0 <= count <= COUNT_MAX for count in counts):
        return service_rates.NO_SAMPLES
    return service_rates.Histograms(
        tuple(count / TENTHS for count in message.rates),
        tuple(count / TENTHS for count in message.steps),
        _read_forecasts(message.forecasts),
    )


def _read_forecasts(sums: tuple[int, ...]) -> tuple[float, ...]:
    """Return the sums in a message, or none if one of them is absurd."""
    is_plausible = len(sums) == service_rates.FORECAST_SUMS_COUNT and all(
        abs(value) <= COUNT_MAX for value in sums
    )
    if not is_plausible:
        return service_rates.NO_SAMPLES.forecasts
    return tuple(value / THOUSANDTHS for value in sums)


def sum_speeds(
    reports: list[tuple[messages.RouterSpeeds, float]], now_s: float
) -> messages.TotalSpeeds:
    """Return the sum of several routers' reports, each with the time it arrived.

    Examples
    --------
    >>> report = messages.RouterSpeeds((messages.ServerSpeed("a", 693, 1000, 0, 0),))
    >>> total = sum_speeds([(report, 1.0), (report, 1.0)], 1.0)
    >>> total.speeds[0].announced_weight
    2000
    """
    speeds: dict[str, server_speed.Speed] = {}
    samples: dict[str, service_rates.Histograms] = {}
    for report, at_s in reports:
        for item in report.speeds[:MAX_SPEEDS_COUNT]:
            known = speeds.get(item.server_id, server_speed.NO_SPEED)
            other = read_speed(item, at_s)
            speeds[item.server_id] = server_speed.merge_speeds(known, other, now_s)
        for service in report.samples[:MAX_SERVICES_COUNT]:
            known_samples = samples.get(service.service_name, service_rates.NO_SAMPLES)
            samples[service.service_name] = service_rates.add(
                known_samples, read_samples(service)
            )
    return messages.TotalSpeeds(
        make_speeds(speeds, now_s),
        tuple(make_samples(name, item) for name, item in samples.items()),
    )
