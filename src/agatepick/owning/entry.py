"""The entry's reducer, which turns callers' requests into starts and answers.

An entry owns the jobs whose keys hash to it (:mod:`~agatepick.owning.owner`)
and forwards other requests (:mod:`~agatepick.owning.forwarding`).  It follows
the cluster's configuration (:mod:`~agatepick.config.configuration`), and after
each event it places queued tasks on free slots
(:mod:`~agatepick.decisions.dispatch`).
"""

import dataclasses
import random
import typing

from agatepick.api import calls
from agatepick.config import cluster
from agatepick.config import configstatus
from agatepick.config import configuration
from agatepick import core
from agatepick.decisions import dispatch
from agatepick.decisions import presets
from agatepick.net import messages
from agatepick.owning import answers
from agatepick.owning import deaths
from agatepick.owning import forwarding
from agatepick.owning import jobs
from agatepick.owning import owner
from agatepick.owning import ownership
from agatepick.owning import zonework
from agatepick.table import store
from agatepick import types

ROLE_AGENT = 'agent'
ROLE_ENTRY = 'entry'
ACTION_SUBMIT = 'submit'
ACTION_HANDOVER = 'handover'
ACTION_ASK = 'ask'
ACTION_CANCEL = 'cancel'

_Effects = list[object]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryConfig:
    """Configuration of an entry's reducer.

    :param me: this entry as a member of the cluster.
    :param limits: limits of the jobs that this entry owns.
    """

    me: messages.Member
    configuration: configuration.ConfigurationSettings
    dispatch: dispatch.DispatchSettings
    limits: owner.OwnerConfig = owner.OwnerConfig()


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStatus:
    """State of one entry, for operators."""

    name: str
    incarnation: int
    stopping: bool
    ready: bool
    jobs_running: int
    jobs_remembered: int
    forwarded: int
    agents: tuple[str, ...]
    zones: tuple[str, ...]
    zone_work: tuple[zonework.ZoneWork, ...]
    configuration: configstatus.ConfigurationStatus
    dispatch: dispatch.DispatchStatus


class Entry:
    """Reducer of one entry process."""

    def __init__(self, cfg: EntryConfig, rng: random.Random):
        self._me = cfg.me
        self._skew = cfg.limits.key_skew_seconds
        self.configuration = configuration.Configuration.from_config(
            cfg.configuration, cfg.me, rng
        )
        self.dispatch = dispatch.Dispatch.from_config(cfg.dispatch, rng)
        self.owner = owner.Owner(
            cfg.me.name,
            cfg.me.incarnation,
            cfg.limits,
            self.configuration,
            self.dispatch,
        )
        self.forwarding = forwarding.Forwarding()
        self._dead_entries = deaths.DeadEntries(self._skew)
        self._entries_up: set[types.PeerName] = set()
        self._members_version = 0
        self._preset = ''
        self._stopping = False
        self._stopped_at = 0.0
        self._handover_targets: dict[types.JobKey, messages.Member] = {}
        self._exited = False
        self._handlers = self._create_event_handlers()
        self._message_handlers = self._create_message_handlers()

    @classmethod
    def from_config(cls, cfg: EntryConfig, rng: random.Random) -> 'Entry':
        """Return an entry that has not yet read the configuration."""
        return cls(cfg, rng)

    def reduce(self, event: object, now: float) -> _Effects:
        """Handle one event and return its effects in order of execution."""
        effects = self._handlers[type(event)](event, now)
        effects += self._follow_configuration(now)
        effects += self.owner.advance(now)
        return [self._reply_if_proposed(effect) for effect in effects]

    def ready(self, now: float) -> bool:
        """Return whether the load balancer should send requests here."""
        return self.configuration.serving(now) and not self._stopping

    def status(self, now: float) -> EntryStatus:
        """Return the state of this entry."""
        return EntryStatus(
            name=self._me.name,
            incarnation=self._me.incarnation,
            stopping=self._stopping,
            ready=self.ready(now),
            jobs_running=len(self.owner.jobs.list_running()),
            jobs_remembered=len(self.owner.jobs),
            forwarded=len(self.forwarding),
            agents=tuple(sorted(self.owner.agents)),
            zones=tuple(
                sorted({hello.zone for hello in self.owner.agents.values()})
            ),
            zone_work=self.owner.zone_work.list_zones(),
            configuration=self.configuration.status(now),
            dispatch=self.dispatch.status(now),
        )

    def _create_event_handlers(
        self,
    ) -> dict[type, typing.Callable[[typing.Any, float], _Effects]]:
        return {
            calls.JobSubmitted: self._on_submitted,
            calls.JobAsked: self._on_asked,
            calls.JobCancelled: self._on_cancelled,
            calls.ChangeProposed: self._on_proposed,
            calls.StatusAsked: self._on_status,
            core.Received: self._on_received,
            core.PeerUp: self._on_peer_up,
            core.PeerDown: self._on_peer_down,
            core.Tick: self._on_tick,
            core.StopRequested: self._on_stop,
            store.StoreAnswered: self.configuration.on_store,
        }

    def _create_message_handlers(
        self,
    ) -> dict[type, typing.Callable[[str, typing.Any, float], _Effects]]:
        return {
            messages.Results: self.owner.on_results,
            messages.Offer: self.owner.on_offer,
            messages.Orphans: self.owner.on_orphans,
            messages.Forward: self._on_forward,
            messages.Forwarded: self._on_forwarded,
            messages.QuotaAsk: self.dispatch.quotas.on_message,
            messages.QuotaGrant: self.dispatch.quotas.on_message,
        }

    # Requests of callers.

    def _on_submitted(self, event: calls.JobSubmitted, now: float) -> _Effects:
        spec = event.job
        waiter = jobs.LocalWaiter(event.call)
        name = self._find_owner_name(spec.key, now)
        if name == self._me.name:
            return self._submit(spec, waiter, now)
        return self._forward(
            name, waiter, ACTION_SUBMIT, spec.key, spec.team, (spec,)
        )

    def _on_asked(self, event: calls.JobAsked, now: float) -> _Effects:
        waiter = jobs.LocalWaiter(event.call)
        name = self._find_owner_name(event.key, now)
        if name == self._me.name:
            return self.owner.send_status(event.key, event.team, waiter)
        return self._forward(name, waiter, ACTION_ASK, event.key, event.team)

    def _on_cancelled(self, event: calls.JobCancelled, now: float) -> _Effects:
        waiter = jobs.LocalWaiter(event.call)
        name = self._find_owner_name(event.key, now)
        if name == self._me.name:
            return self.owner.cancel(event.key, event.team, waiter, now)
        return self._forward(
            name, waiter, ACTION_CANCEL, event.key, event.team
        )

    def _forward(
        self,
        name: types.PeerName,
        waiter: jobs.Waiter,
        action: str,
        key: types.JobKey,
        team: str,
        specs: tuple[types.JobSpec, ...] = (),
    ) -> _Effects:
        if name not in self._entries_up:
            reason = "the job's owner can't be reached"
            answer = forwarding.build_pending(key, reason, name)
            return answers.deliver((waiter,), answer)
        return self.forwarding.forward(name, waiter, action, key, team, specs)

    def _on_forward(
        self, peer: types.PeerName, message: messages.Forward, now: float
    ) -> _Effects:
        waiter = jobs.RemoteWaiter(peer, message.request)
        key, team = message.key, message.team
        handed_over = message.action == ACTION_HANDOVER
        if (
            not handed_over
            and self._find_owner_name(key, now) != self._me.name
        ):
            reason = 'this entry does not own the job'
            answer = forwarding.build_pending(key, reason, self._me.name)
            return answers.deliver((waiter,), answer)
        if message.action == ACTION_CANCEL:
            return self.owner.cancel(key, team, waiter, now)
        if not message.jobs:
            return self.owner.send_status(key, team, waiter)
        return self._submit(message.jobs[0], waiter, now)

    def _on_forwarded(
        self, peer: types.PeerName, message: messages.Forwarded, now: float
    ) -> _Effects:
        return self._deliver_all(self.forwarding.complete(message))

    def _deliver_all(
        self, waiter_answers: list[forwarding.WaiterAnswer]
    ) -> _Effects:
        effects: _Effects = []
        for waiter_answer in waiter_answers:
            effects += answers.deliver(
                (waiter_answer.waiter,), waiter_answer.answer
            )
        return effects

    def _submit(
        self, spec: types.JobSpec, waiter: jobs.Waiter, now: float
    ) -> _Effects:
        effects = self.owner.answer_resubmission(spec, waiter)
        if effects is None:
            effects = self.owner.check_key(spec, waiter, now)
        if effects is None:
            effects = self._adopt(spec, waiter, now)
        if effects is not None:
            return effects
        if self._stopping:
            return self._hand_over(spec, waiter, now)
        return self.owner.submit(spec, waiter, now)

    def _adopt(
        self, spec: types.JobSpec, waiter: jobs.Waiter, now: float
    ) -> _Effects | None:
        members = self._get_eligible_members(spec.key, now)
        return self.owner.adopt(spec, waiter, members, now)

    def _hand_over(
        self, spec: types.JobSpec, waiter: jobs.Waiter, now: float
    ) -> _Effects:
        """Forward a new job to the entry that will own it after this one.

        If a stopping entry refused new keys, requests would fail during
        every rolling update.  The entry that ranks second for the key owns
        it as soon as this entry's removal is in force, so the job doesn't
        move again.
        """
        others = [
            member
            for member in self._get_eligible_members(spec.key, now)
            if member.name != self._me.name
        ]
        successor = ownership.find_owner(spec.key, others, self._skew)
        # A job is handed over to one successor only: a second successor would
        # have no record of the tasks that the first one started, so its
        # answer "not run" could be false.
        if successor is not None and successor.name in self._entries_up:
            target = self._handover_targets.setdefault(spec.key, successor)
            if (target.name, target.incarnation) == (
                successor.name,
                successor.incarnation,
            ):
                return self.forwarding.forward(
                    successor.name,
                    waiter,
                    ACTION_HANDOVER,
                    spec.key,
                    spec.team,
                    (spec,),
                )
        reason = 'this entry is stopping and the next owner is not reachable'
        answer = forwarding.build_pending(spec.key, reason, self._me.name)
        return answers.deliver((waiter,), answer)

    def _find_owner_name(
        self, key: types.JobKey, now: float
    ) -> types.PeerName:
        """Return the owner's name; empty while the owner is unknown."""
        if not self.configuration.serving(now):
            return ''
        if not ownership.is_key(key):
            # The entry that receives a malformed key refuses it.
            return self._me.name
        member = ownership.find_owner(
            key, self._get_eligible_members(key, now), self._skew
        )
        return '' if member is None else member.name

    def _get_eligible_members(
        self, key: types.JobKey, now: float
    ) -> tuple[messages.Member, ...]:
        members = self.configuration.in_force(now).entries
        return self._dead_entries.exclude_dead(key, members)

    # Peers, time, configuration.

    def _on_received(self, event: core.Received, now: float) -> _Effects:
        handler = self._message_handlers.get(type(event.message))
        if handler is not None:
            return handler(event.peer, event.message, now)
        return self.configuration.on_message(event.peer, event.message, now)

    def _on_peer_up(self, event: core.PeerUp, now: float) -> _Effects:
        hello = event.hello
        if hello.role == ROLE_AGENT:
            members = core.Send(hello.name, self._build_members_message(now))
            return [members, *self.owner.on_agent_up(hello, now)]
        self._entries_up.add(hello.name)
        return self.configuration.on_peer_up(hello, now)

    def _on_peer_down(self, event: core.PeerDown, now: float) -> _Effects:
        if event.peer in self.owner.agents:
            self.owner.on_agent_down(event.peer, now)
            return []
        if event.incarnation == 0 and event.peer in self._entries_up:
            # Only a further dial failed: the connected process is alive, and
            # would own its keys beside their next owner.
            return []
        self._entries_up.discard(event.peer)
        self._record_death(event, now)
        return [
            *self._deliver_all(self.forwarding.close_requests(event.peer)),
            *self.configuration.on_peer_down(event, now),
        ]

    def _record_death(self, event: core.PeerDown, now: float) -> None:
        member = self.configuration.latest.member(event.peer)
        if not event.dead or member is None:
            return
        if event.incarnation in (0, member.incarnation):
            self._dead_entries.record_death(member, now)

    def _on_proposed(
        self, event: calls.ChangeProposed, now: float
    ) -> _Effects:
        change = event.change
        return self.configuration.propose(
            event.call, change, event.based_on, now
        )

    def _on_status(self, event: calls.StatusAsked, now: float) -> _Effects:
        return [calls.Reply(event.call, self.status(now))]

    def _on_tick(self, event: core.Tick, now: float) -> _Effects:
        queued = self.dispatch.status(now).queued
        self.dispatch.quotas.set_waiting(dict(queued))
        return [
            *self.configuration.on_tick(now),
            *self.dispatch.quotas.on_tick(now),
            *self.owner.on_tick(now),
            *self._exit_when_done(now),
        ]

    def _on_stop(self, event: core.StopRequested, now: float) -> _Effects:
        if not self._stopping:
            self._stopping = True
            self._stopped_at = now
        return [core.note('entry_stopping')]

    def _exit_when_done(self, now: float) -> _Effects:
        if not self._stopping or self._exited:
            return []
        if self.owner.jobs.list_running() or len(self.forwarding):
            return []
        if not self.configuration.may_exit:
            return self.configuration.leave(self._stopped_at, now)
        self._exited = True
        peers = sorted([*self._entries_up, *self.owner.agents])
        goodbye = messages.Goodbye('stopped')
        return [
            *[core.Send(peer, goodbye) for peer in peers],
            core.note('entry_stopped'),
            core.Exit(),
        ]

    def _follow_configuration(self, now: float) -> _Effects:
        in_force = self.configuration.in_force(now)
        if in_force.preset != self._preset:
            self._preset = in_force.preset
            self.dispatch.use_preset(presets.BY_NAME[self._preset], now)
        if in_force.version == self._members_version:
            return []
        self._members_version = in_force.version
        names = tuple([member.name for member in in_force.listed()])
        limits = {quota.team: quota.slots for quota in in_force.quotas}
        self.dispatch.quotas.configure(limits, names, now)
        self.owner.set_leaving(frozenset(in_force.leaving), now)
        self._dead_entries.prune(in_force.entries)
        members = self._build_members_message(now)
        return [core.Send(name, members) for name in sorted(self.owner.agents)]

    def _build_members_message(self, now: float) -> messages.Members:
        in_force = self.configuration.in_force(now)
        return messages.Members(in_force.version, in_force.entries)

    def _reply_if_proposed(self, effect: object) -> object:
        if isinstance(effect, cluster.ProposalOutcome):
            return calls.Reply(effect.request_id, effect)
        return effect
