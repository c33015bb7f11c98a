"""Planned stops post one event to the policy core per change of state."""

from hickoryweir.configuration import commands, stops
from hickoryweir.daemon import backends, dispatcher
from hickoryweir.daemon.tests import fakes
from hickoryweir.observability import metrics
from hickoryweir.policy import events, settings

LIVE, LEAVING = events.ServerState.LIVE, events.ServerState.LEAVING


def make_stop(name):
    return stops.Stop(commands.SubjectKind.BACKEND_SERVER, name, "ann", "c-1", 1, 0.0)


def apply_all(*running_stops):
    """Return the events posted for each set of running stops in turn."""
    configuration = fakes.make_configuration()
    core_dispatcher = dispatcher.make_dispatcher(
        settings.CoreSettings("vm-1", "a"), configuration, metrics.make_metrics()
    )
    tracker = backends.make_tracker(core_dispatcher, None)
    found = []
    for running in running_stops:
        backends.apply_configuration(tracker, configuration, running)
        posted = [
            core_dispatcher.inbox.get_nowait()
            for _ in range(core_dispatcher.inbox.qsize())
        ]
        found.append([(event.backend_server, event.state) for event in posted])
    return found


def test_a_planned_stop_and_its_cancellation_are_each_posted_once():
    stop = (make_stop("engine-1"),)
    found = apply_all((), stop, stop, ())
    assert found[1:] == [[("engine-1", LEAVING)], [], [("engine-1", LIVE)]]
