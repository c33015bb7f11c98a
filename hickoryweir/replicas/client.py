"""Client of the replicated log, for routers and operators.

The client finds the leader, follows leader changes, and fails at once if the replicas
that it reaches report no quorum.  While there is no quorum it polls in the background,
so that callers don't each wait for a poll.

A command is sent again after a lost response.  This is safe only because each command
carries an id by which the state machine detects duplicates.
"""

import asyncio
import dataclasses
import enum
import typing
from collections.abc import Callable

from returns import result

from hickoryweir.replicas import channels, messages, reachability, wire
from hickoryweir.replicas import state as states
from hickoryweir.streams import codec, handshake, tls

CONNECT_TIMEOUT_S = 0.3
POLL_TIMEOUT_S = 0.3
LEADER_CHECK_AFTER_S = 0.4
IDLE_CHECKS_COUNT = 25
RETRY_INTERVAL_S = 0.03
PROBE_INTERVAL_S = 0.2
PROBE_INTERVAL_MAX_S = 1.0


class Reason(enum.StrEnum):
    """Why a request failed."""

    NO_QUORUM = "no_quorum"
    TIMED_OUT = "timed_out"
    OVERLOADED = "overloaded"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The log did not serve a request.

    Attributes
    ----------
    reason : Reason
        Why the request failed.
    may_commit : bool
        False only if the command is certain never to take effect.
    retry_after_s : float
        Seconds to wait before a retry.
    """

    reason: Reason
    may_commit: bool
    retry_after_s: float


class Client:
    """A client; made by :func:`make_client` and used from one event loop.

    Attributes
    ----------
    reachability : reachability.Reachability
        How the leader can be reached, as last known.
    leader_name : str
        Name of the replica believed to be the leader; empty if none.
    target_name : str
        Name of the replica to ask: the leader, or a follower that relays requests.
    """

    def __init__(
        self,
        identity: handshake.Identity,
        replicas: tuple[wire.ReplicaAddress, ...],
        files: tls.TlsFiles | None,
        group: str,
        is_leader_known: Callable[[], bool],
        get_members: Callable[[], tuple[wire.ReplicaAddress, ...]],
        get_leader_name: Callable[[], str],
    ) -> None:
        self.reachability = reachability.Reachability.UNKNOWN
        self.leader_name = ""
        self.target_name = ""
        self._identity = identity
        self._files = files
        self._group = group
        self._is_leader_known = is_leader_known
        self._get_members = get_members
        self._get_leader_name = get_leader_name
        self._told_leader_name = ""
        self._channels: dict[str, channels.Channel] = {}
        self._given_names: set[str] = set()
        self._closing_tasks: set[asyncio.Task] = set()
        self._poll_task: asyncio.Task | None = None
        self._probe_task: asyncio.Task | None = None
        self._leader_check_task: asyncio.Task | None = None
        self.add_replicas(replicas)

    async def propose(
        self, command: object, timeout_s: float
    ) -> result.Result[typing.Any, Unavailable]:
        """Commit a command and return the state machine's response.

        Parameters
        ----------
        command : object
            A registered message that carries an id of its own.
        timeout_s : float
            Time limit, retries included.
        """
        request = wire.ProposeRequest(0, codec.encode(command))
        response = await self._ask_leader(request, timeout_s)
        return response.map(lambda answered: codec.decode(answered.payload).unwrap())

    async def read(
        self, query: object, timeout_s: float, stale: bool = False
    ) -> result.Result[typing.Any, Unavailable]:
        """Query the state.

        Parameters
        ----------
        query : object
            A registered message.
        timeout_s : float
            Time limit, retries included.
        stale : bool, optional
            Whether any replica may answer from its applied state; otherwise the read
            is linearizable: it reflects every command committed before the call.
        """
        request = wire.ReadRequest(0, codec.encode(query), stale)
        if stale:
            response = await self._ask_any(request, timeout_s)
        else:
            response = await self._ask_leader(request, timeout_s)
        return response.map(lambda answered: codec.decode(answered.payload).unwrap())

    async def watch(
        self, query: object, after_version: int, timeout_s: float
    ) -> result.Result[typing.Any | None, Unavailable]:
        """Query the state once the submachine's version is above `after_version`.

        Any replica may answer from its applied state; None on a timeout.
        """
        request = wire.WatchRequest(0, codec.encode(query), after_version, timeout_s)
        response = await self._ask_any(request, timeout_s + POLL_TIMEOUT_S)
        return response.map(_decode_watched)

    def add_replicas(self, replicas: tuple[wire.ReplicaAddress, ...]) -> None:
        """Add replicas to those that are polled, whether or not a log names them."""
        self._given_names.update(replica.name for replica in replicas)
        self._learn_addresses(replicas)

    async def wait_until_ready(self, timeout_s: float) -> bool:
        """Return True once there is a leader, or False on a timeout."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while loop.time() < deadline_s:
            await self._poll()
            if self.reachability is reachability.Reachability.LEADER:
                return True
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def status(self) -> tuple[wire.Status, ...]:
        """Return the status of each replica that answers within the poll timeout."""
        return await self._ask_statuses(lambda statuses: False)

    async def _ask_statuses(
        self, are_enough: Callable[[tuple[wire.Status, ...]], bool]
    ) -> tuple[wire.Status, ...]:
        """Return the statuses that come within the timeout or are enough before it."""
        request = wire.StatusRequest(0)
        waiting = {
            asyncio.create_task(self._ask_within(channel, request, POLL_TIMEOUT_S))
            for channel in list(self._channels.values())
        }
        statuses: tuple[wire.Status, ...] = ()
        try:
            while waiting and not are_enough(statuses):
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                answers = [task.result() for task in done]
                statuses += tuple(
                    item for item in answers if isinstance(item, wire.Status)
                )
            return statuses
        finally:
            for task in waiting:
                task.cancel()
            await asyncio.gather(*waiting, return_exceptions=True)

    async def add_learner(
        self, replica: wire.ReplicaAddress, timeout_s: float
    ) -> result.Result[str, Unavailable]:
        """Admit a replica with an empty folder as a learner.

        Returns
        -------
        Result
            Empty text once the change is committed, or the reason of a refusal.
        """
        self._given_names.add(replica.name)
        channel = self._add_channel(replica)
        status = await self._ask_within(channel, wire.StatusRequest(0), timeout_s)
        if not isinstance(status, wire.Status):
            return result.Failure(Unavailable(Reason.TIMED_OUT, False, timeout_s))
        member = messages.Member(
            status.member_id, replica.address, status.availability_zone, False
        )
        if self.reachability is reachability.Reachability.NO_QUORUM:
            # The replica hears from no leader, so only a poll can find one.
            await self._poll()
        return await self._change(wire.Change.ADD_LEARNER, member, timeout_s)

    async def promote(
        self, member_id: str, timeout_s: float
    ) -> result.Result[str, Unavailable]:
        """Promote a caught-up learner to voter."""
        member = _make_reference(member_id)
        return await self._change(wire.Change.PROMOTE, member, timeout_s)

    async def remove(
        self, member_id: str, timeout_s: float
    ) -> result.Result[str, Unavailable]:
        """Remove a member other than the leader."""
        member = _make_reference(member_id)
        return await self._change(wire.Change.REMOVE, member, timeout_s)

    async def transfer(
        self, member_id: str, timeout_s: float
    ) -> result.Result[str, Unavailable]:
        """Transfer leadership to a voter; to the most up-to-date one if empty."""
        member = _make_reference(member_id)
        return await self._change(wire.Change.TRANSFER, member, timeout_s)

    async def leave(
        self, member_id: str, timeout_s: float
    ) -> result.Result[str, Unavailable]:
        """Ask that a learner take the place of a voter that is about to stop.

        Returns
        -------
        Result
            Empty text once the voter may stop, or why it should ask again.
        """
        member = _make_reference(member_id)
        return await self._change(wire.Change.LEAVE, member, timeout_s)

    async def yield_vote(
        self,
        member_id: str,
        replicas: tuple[wire.ReplicaAddress, ...],
        timeout_s: float,
    ) -> None:
        """Ask that a member vote only where others are missing, for a short time.

        All replicas are asked, since any of them may be elected next.
        """
        self._learn_addresses(replicas)
        member = _make_reference(member_id)
        request = wire.ChangeRequest(0, wire.Change.YIELD, member)
        await asyncio.gather(
            # Relayed if the leader can't be reached.
            self._change(wire.Change.YIELD, member, timeout_s),
            *[
                self._ask_within(channel, request, timeout_s)
                for name, channel in list(self._channels.items())
                if name != self.leader_name
            ],
        )

    async def close(self) -> None:
        """Close all connections."""
        tasks = [self._poll_task, self._probe_task, self._leader_check_task]
        running = [task for task in tasks if task is not None]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, *self._closing_tasks, return_exceptions=True)
        await asyncio.gather(*[item.close() for item in self._channels.values()])

    async def _change(
        self, change: wire.Change, member: messages.Member, timeout_s: float
    ) -> result.Result[str, Unavailable]:
        request = wire.ChangeRequest(0, change, member)
        response = await self._ask_leader(request, timeout_s)
        return response.map(lambda answered: answered.refusal)

    async def _ask_leader(
        self, request: wire.Request, timeout_s: float
    ) -> result.Result[typing.Any, Unavailable]:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        may_commit = False
        while loop.time() < deadline_s:
            if self.reachability is reachability.Reachability.UNKNOWN:
                await self._poll()
            if self.reachability is reachability.Reachability.NO_QUORUM:
                if self._is_leader_known():
                    await self._poll()
                if self.reachability is reachability.Reachability.NO_QUORUM:
                    self._start_probing()
                    # Callers that try again at once must not hold up the event loop.
                    await asyncio.sleep(0)
                    return _unavailable(Reason.NO_QUORUM, may_commit)
                continue
            if self.reachability is reachability.Reachability.ELECTION:
                await asyncio.sleep(RETRY_INTERVAL_S)
                await self._poll()
                continue
            self._follow_told_leader()
            response = await self._ask_target(request, deadline_s)
            if _is_served(response):
                return result.Success(response)
            may_commit = may_commit or _may_have_committed(response)
            failure = _final_failure(response, may_commit)
            if failure is not None:
                return failure
            await self._follow_hint(response)
        return _unavailable(Reason.TIMED_OUT, may_commit)

    def _follow_told_leader(self) -> None:
        """Ask the leader that this process has learned of otherwise since it asked.

        The one that led before may be gone, and only a timeout would tell.
        """
        told_name = self._get_leader_name()
        if told_name == self._told_leader_name:
            return
        self._told_leader_name = told_name
        if told_name != self.leader_name and told_name in self._channels:
            self._follow(told_name)

    def _follow(self, leader_name: str) -> None:
        self.reachability = reachability.Reachability.LEADER
        self.leader_name = self.target_name = leader_name

    async def _ask_target(
        self, request: wire.Request, deadline_s: float
    ) -> object | None:
        """Ask the target; None on a timeout or if the others no longer follow it."""
        self._start_leader_check()
        left_s = deadline_s - asyncio.get_running_loop().time()
        if self.reachability is reachability.Reachability.RELAYED:
            request = wire.RelayRequest(0, request)
        channel = self._channels[self.target_name]
        return await self._ask_within(channel, request, left_s)

    def _start_leader_check(self) -> None:
        if self._leader_check_task is None or self._leader_check_task.done():
            self._leader_check_task = asyncio.create_task(self._check_leader())

    async def _check_leader(self) -> None:
        """While requests wait for the leader, check that it still leads.

        Ends after `IDLE_CHECKS_COUNT` checks without a waiting request.
        """
        idle_count = 0
        while idle_count < IDLE_CHECKS_COUNT:
            await asyncio.sleep(LEADER_CHECK_AFTER_S / 2)
            channel = self._channels.get(self.target_name)
            waited_s = 0.0 if channel is None else channel.longest_wait_s()
            idle_count = 0 if waited_s else idle_count + 1
            if waited_s > LEADER_CHECK_AFTER_S:
                await self._poll()
                if self._channels.get(self.target_name) is not channel:
                    channel.fail_pending()

    async def _follow_hint(self, response: object) -> None:
        hint = getattr(response, "leader_name", "")
        if hint and hint != self.leader_name and hint in self._channels:
            self._follow(hint)
            return
        await asyncio.sleep(RETRY_INTERVAL_S)
        await self._poll()

    async def _ask_any(
        self, request: wire.Request, timeout_s: float
    ) -> result.Result[typing.Any, Unavailable]:
        zone = self._identity.availability_zone
        ordered = sorted(
            self._channels.values(),
            key=lambda channel: channel.replica.availability_zone != zone,
        )
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        for channel in ordered:
            left_s = deadline_s - loop.time()
            response = await self._ask_within(channel, request, left_s)
            if isinstance(response, wire.Answered):
                return result.Success(response)
        return _unavailable(Reason.NO_QUORUM, False)

    async def _ask_within(
        self, channel: channels.Channel, request: wire.Request, timeout_s: float
    ) -> object | None:
        try:
            async with asyncio.timeout(timeout_s):
                return await channel.ask(request)
        except TimeoutError:
            return None

    async def _poll(self) -> None:
        """Poll the status of all replicas; concurrent callers share one poll."""
        if self._poll_task is None:
            self._poll_task = asyncio.create_task(self._poll_all())
        await asyncio.shield(self._poll_task)

    async def _poll_all(self) -> None:
        try:
            self._learn_addresses(self._get_members())
            statuses = await self._ask_statuses(reachability.is_decided)
            self.reachability, self.leader_name, self.target_name = reachability.assess(
                statuses
            )
            for status in statuses:
                self._learn_addresses(_member_addresses(status))
            if reachability.is_decided(statuses):
                self._drop_former(reachability.find_leading(statuses))
        finally:
            self._poll_task = None

    def _learn_addresses(self, replicas: tuple[wire.ReplicaAddress, ...]) -> None:
        for replica in replicas:
            if replica.name not in self._channels:
                self._add_channel(replica)

    def _drop_former(self, leading: wire.Status) -> None:
        """Drop the channels to replicas that no log names and no caller has given."""
        named = (*_member_addresses(leading), *self._get_members())
        kept = self._given_names.union(replica.name for replica in named)
        for name in self._channels.keys() - kept:
            if name != self.target_name:
                self._close_channel(self._channels.pop(name))

    def _add_channel(self, replica: wire.ReplicaAddress) -> channels.Channel:
        """Return the channel to a replica; one to a former address is closed."""
        former = self._channels.get(replica.name)
        if former is not None and former.replica == replica:
            return former
        if former is not None:
            self._close_channel(former)
        channel = channels.Channel(
            self._identity, replica, self._files, self._group, CONNECT_TIMEOUT_S
        )
        self._channels[replica.name] = channel
        return channel

    def _close_channel(self, channel: channels.Channel) -> None:
        closing = asyncio.create_task(channel.close())
        self._closing_tasks.add(closing)
        closing.add_done_callback(self._closing_tasks.discard)

    def _start_probing(self) -> None:
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = asyncio.create_task(self._probe())

    async def _probe(self) -> None:
        interval_s = PROBE_INTERVAL_S
        while self.reachability is reachability.Reachability.NO_QUORUM:
            await asyncio.sleep(interval_s)
            await self._poll()
            interval_s = min(2 * interval_s, PROBE_INTERVAL_MAX_S)


def make_client(
    identity: handshake.Identity,
    replicas: tuple[wire.ReplicaAddress, ...],
    files: tls.TlsFiles | None = None,
    group: str = "",
    is_leader_known: Callable[[], bool] = lambda: False,
    get_members: Callable[[], tuple[wire.ReplicaAddress, ...]] = tuple,
    get_leader_name: Callable[[], str] = str,
) -> Client:
    """Return a client; it connects on first use.

    Parameters
    ----------
    identity : handshake.Identity
        Identity of this process.
    replicas : tuple of wire.ReplicaAddress
        Initial replicas; others are learned from their status.
    files : tls.TlsFiles, optional
        Mutual TLS if given.
    group : str, optional
        Name of the replicated log.
    is_leader_known : callable, optional
        Returns whether this process knows from another source that there is a leader.
        The client then asks the replicas again at once instead of at its next poll.
    get_members : callable, optional
        Returns the members that this process knows from another source.  None of the
        initial replicas may be left.
    get_leader_name : callable, optional
        Returns the name of the leader that this process knows from another source, or
        empty text.  It may be out of date.
    """
    return Client(
        identity,
        replicas,
        files,
        group,
        is_leader_known,
        get_members,
        get_leader_name,
    )


def _member_addresses(status: wire.Status) -> tuple[wire.ReplicaAddress, ...]:
    return tuple(wire.address_of(known.member) for known in status.members)


def _make_reference(member_id: str) -> messages.Member:
    return messages.Member(member_id, "", "", False)


def _decode_watched(answered: wire.Answered) -> typing.Any | None:
    return codec.decode(answered.payload).unwrap() if answered.payload else None


def _unavailable(reason: Reason, may_commit: bool) -> result.Result:
    return result.Failure(Unavailable(reason, may_commit, PROBE_INTERVAL_S))


def _is_served(response: object | None) -> bool:
    return isinstance(response, wire.Answered | wire.ChangeAnswered) and (
        not _is_from_former_leader(response)
    )


def _is_from_former_leader(response: object | None) -> bool:
    return (
        isinstance(response, wire.ChangeAnswered)
        and response.refusal == states.ChangeRefusal.NOT_LEADER.value
    )


def _may_have_committed(response: object | None) -> bool:
    if _is_from_former_leader(response):
        return False
    return not isinstance(response, wire.NotServed) or response.may_commit


def _final_failure(response: object | None, may_commit: bool) -> result.Result | None:
    if not isinstance(response, wire.NotServed):
        return None
    if response.reason is wire.NotServedReason.OVERLOADED:
        return _unavailable(Reason.OVERLOADED, may_commit)
    if response.reason is wire.NotServedReason.MALFORMED:
        return _unavailable(Reason.MALFORMED, may_commit)
    return None
