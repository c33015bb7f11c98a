"""What a router knows of the speed of one service's servers."""

import dataclasses

from hickoryweir.forwarding_policy import prefill_interference, service_rates


@dataclasses.dataclass(slots=True)
class ServiceSpeed:
    """Speed of one service's servers.

    Attributes
    ----------
    announced_at_s : float
        When any of its servers last announced its slowness, on
        :func:`hickoryweir.clocks.boottime_s`.
    samples : service_rates.Histograms
        This router's measurements.
    rates : prefill_interference.Rates
        Rates in force, learned from the measurements of all routers.
    forecast_share : float
        See :func:`.service_rates.forecast_share`, of all routers.
    """

    announced_at_s: float = float("-inf")
    samples: service_rates.Histograms = service_rates.NO_SAMPLES
    rates: prefill_interference.Rates = prefill_interference.DEFAULT_RATES
    forecast_share: float = 1.0
