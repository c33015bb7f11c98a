"""Planned stops reach the policy core, and only changes do."""

from hickoryweir.configuration import commands, stops
from hickoryweir.daemon import backends, dispatcher
from hickoryweir.daemon.tests import fakes
from hickoryweir.observability import metrics
from hickoryweir.policy import events, settings

LIVE, LEAVING = events.ServerState.LIVE, events.ServerState.LEAVING


def make_stop(name):
    return stops.Stop(commands.SubjectKind.BACKEND_SERVER, name, "ann", "c-1", 1, 0.0)


def follow_all(*running_stops):
    """Return the events that each version in turn brings."""
    configuration = fakes.make_configuration()
    made = dispatcher.make_dispatcher(
        settings.CoreSettings("vm-1", "a"), configuration, metrics.make_metrics()
    )
    followers = backends.make_followers(made, None)
    found = []
    for running in running_stops:
        backends.follow(followers, configuration, running)
        posted = [made.inbox.get_nowait() for _ in range(made.inbox.qsize())]
        found.append([(event.backend_server, event.state) for event in posted])
    return found


def test_a_planned_stop_and_its_cancel_are_told_once_each():
    stop = (make_stop("engine-1"),)
    found = follow_all((), stop, stop, ())
    assert found[1:] == [[("engine-1", LEAVING)], [], [("engine-1", LIVE)]]
