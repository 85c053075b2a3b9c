"""Every decision of hillmux. Settings, events and actions: hillmux/interface.py (times in milliseconds).

A request's life: quota and ceiling, admission by SiRED, choice of a server, attempts, one final answer.
"""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right
from collections import deque
from math import inf

from hillmux import interface as api
from hillmux.balancing.host import Host
from hillmux.balancing.load_balancer import LoadBalancer
from hillmux.interface import (
    NEVER_DELIVERED,
    NEVER_EXECUTED,
    AttemptResult,
    Idempotency,
    KeyScope,
    ListKind,
    RejectReason,
)
from hillmux.quotas.quotas import Quotas
from hillmux.quotas.state import QuotaState, WaitingRequest
from hillmux.quotas.throttle import SILENT_RATE

# --- Constants -------------------------------------------------------------------------------------------
SWEEP_MS = 100.0  # spacing of the housekeeping timer and of the q updates: a tenth of the quickest trouble
OUTCOMES = 125  # outcomes that also close a q interval (design page)
W = 0.3  # weight of a new mean in q: at SWEEP_MS apart it forgets in about 0.3 s, under every aim seen
FEW = 5.0  # outcomes in an estimate's memory: a mean of fewer weighs less, whatever its interval
Q_MIN, Q_MAX, F_MIN = 0.2, 0.45, 0.05  # idle service takes 0.1 to 0.15 of an aim; its tail is longer
STALL = 2.0  # a sweep this many spacings late is a stall of ours, not of the back end
OLD_MS = 5000.0  # a stall so long makes what was seen of the back end's pressure no guide any more
RATE_MEMORY_MS = 1000.0  # memory of observed rates (completions, work sent to warm hosts)
GAIN = 0.2  # weight of one outcome in a class's running latency
RESUBSCRIBE_MS = 500.0  # spacing of askings for a list that failed to come
STRIKES = 3  # slow or failed answers or resets in a row that count as a host's failure
RETRY_SHARE, RETRY_BANK = 0.2, 10.0  # further attempts per admitted request, and how many may be saved up
PATIENCE, LOST = 2.5, 0.06  # usual latencies before an answer is missed; share missed that shows a loss
TRIES = 64  # last tries of a class that tell its usual time left
ROOM = 0.5  # beyond-quota work is let in only while q is under this part of Q_MIN
FADED = 0.01  # smoothed occupancy of a back end that has nothing to do
ROUNDING = 1e-9  # what a sum of shares may lack of a whole: taken for less than 1, it refused some work
BROKEN = frozenset(
    (
        AttemptResult.CONNECT_FAILED,
        AttemptResult.RESET,
        AttemptResult.STALE_CONNECTION,
        AttemptResult.INCOMPLETE_REQUEST,
    )
)  # the connection, not the work
NOBODY: list[Host] = []
NO_SAMPLE = BROKEN | {
    AttemptResult.CANCELLED,
    AttemptResult.MALFORMED_RESPONSE,
    AttemptResult.LOCAL_LIMIT,
}  # results that tell nothing of occupancy


def ramp(q: float) -> float:
    """The SiRED fraction for smoothed occupancy q."""
    return max(F_MIN, min((Q_MAX - q) / (Q_MAX - Q_MIN), 1.0))


class _Attempt:
    __slots__ = ("host", "sent", "open", "ran", "streams")

    def __init__(self, host: Host, sent: float) -> None:
        self.host, self.sent = host, sent
        self.open = self.ran = True  # may be running until an outcome proves that it never did
        self.streams = False  # its answer has begun at the client


class _Held:
    """A request that is owed an answer, or whose attempts are still out."""

    __slots__ = (
        "req",
        "cls",
        "quota",
        "aim_at",
        "end_at",
        "attempts",
        "out",
        "answered",
        "stream",
        "work",
        "tries",
        "over",
        "unsent",
    )

    def __init__(
        self,
        req: api.Request,
        cls: api.RequestClass,
        quota: QuotaState,
        aim_at: float,
        end_at: float,
        work: float,
        tries: int,
    ) -> None:
        self.req, self.cls, self.quota, self.work, self.tries = req, cls, quota, work, tries
        self.aim_at, self.end_at = aim_at, end_at
        self.attempts: list[_Attempt] = []
        self.out = 0  # attempts that are open
        self.answered = self.stream = self.over = False  # over: beyond its quota, of which it took nothing
        self.unsent = 0  # attempts that never left whole


class _Cell:
    """Requests of one class and plan: their worth per work, share of the work, fraction let in."""

    __slots__ = ("value", "work", "f", "r")

    def __init__(self) -> None:
        self.value = self.work = self.r = 0.0
        self.f = 1.0


class _Patience:
    """The time left of a class's last tries, and what an uncut one has at least."""

    __slots__ = ("lefts", "stale", "least")

    def __init__(self) -> None:
        self.lefts: deque[float] = deque(maxlen=TRIES)
        self.stale = 0  # tries since `least` was found
        self.least = 0.0

    def least_whole(self, left_ms: float) -> float:
        """Note one more try; the least time left of one that no deadline cut, 0 while that does not show."""
        self.lefts.append(left_ms)
        self.stale += 1
        if self.stale >= TRIES // 8:  # to sort for each request would be the dearest part of it
            self.stale = 0
            lefts = sorted(self.lefts)
            usual = lefts[len(lefts) * 7 // 10]
            agree = bisect_right(lefts, 1.01 * usual) - bisect_left(lefts, 0.99 * usual)
            shows = len(self.lefts) >= TRIES // 2 and 3 * agree >= len(self.lefts)
            self.least = 0.99 * usual if shows else 0.0
        return self.least


class Gateway:
    """The decisions of one gateway."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        settings.check()
        self.s = settings
        self.rng = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.out: list[api.Action] = []
        self.fleet = LoadBalancer(settings, self.rng)
        self.hosts = self.fleet.hosts
        self.held: dict[str, _Held] = {}
        self.quotas = Quotas(settings, self.rng, self._settle)
        self.asking: dict[str, QuotaState] = {}  # by the request that waits for a total
        self.askers: dict[
            QuotaState, None
        ] = {}  # those with a request that waits, or has left while it waited
        self.cells: dict[tuple[str, str], _Cell] = {}
        self.latency = {
            c.name: c.latency_objective_ms / 10 for c in settings.classes
        }  # usual latency per unit
        self.patience = {c.name: _Patience() for c in settings.classes}
        self.now = 0.0
        self.born: float | None = None
        self.sweep_due = 0.0
        self.stalled_at = -1.0
        self.q, self.f = 0.0, 1.0
        self.q_sum, self.q_n, self.q_seen = 0.0, 0, 0
        self.ok_q = self.lost = 0.0  # part of the aim that good answers take; share of answers that are lost
        self.done = self.done_rate = 0.0  # good completions since the last sweep, and per ms
        self.bank = RETRY_BANK
        self.said: dict[str, float] = {}

    # --- Events -------------------------------------------------------------------------------------------

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """The actions that answer one event at `now_ms`; times never run backwards."""
        if now_ms > self.now:
            self.now = self.fleet.now = self.quotas.now = now_ms
        self.out = self.quotas.actions = []
        if self.born is None:
            self.born = self.quotas.started_at = self.now
            self.sweep_due = self.now + SWEEP_MS
            self.out.append(api.SetTimer("sweep", SWEEP_MS))
            if self.s.must_subscribe:
                self.out.append(api.Subscribe())
        if self.now > self.sweep_due + STALL * SWEEP_MS:
            # Danger: our own stall looks like a slow back end. What was out during it is no q sample.
            # Holds also for a paused machine or a jammed network card. Hurts: a real jam is seen later.
            self.stalled_at = self.now
            if self.f < 1 and self.now > self.sweep_due + OLD_MS:
                self._forget_pressure()
        if isinstance(event, api.Request):
            self._request(event)
        elif isinstance(event, api.AttemptEnded):
            self._outcome(event)
        else:
            self._seldom(event)
        return self.out

    def _forget_pressure(self) -> None:
        """Begin as a fresh gateway does, with all let in.

        Danger: one that stood still for a minute holds what it saw before for true, and refuses a calm fleet
        until outcomes, of which it lets few come, tell otherwise. Hurts: a jam that lasted is found out anew.
        """
        self.q, self.f, self.lost, self.done, self.done_rate = 0.0, 1.0, 0.0, 0.0, 0.0
        self.q_sum, self.q_n, self.q_seen = 0.0, 0, 0
        self.quotas.shedding_load = False
        for cell in self.cells.values():
            cell.f, cell.r = 1.0, 0.0

    def _seldom(self, event: api.Event) -> None:
        match event:
            case api.CounterReply():
                self._count_reply(event)
            case api.TimerFired(name="sweep"):
                self._sweep()
            case api.TimerFired(name="subscribe"):
                self.out.append(api.Subscribe())
            case api.EndpointList():
                self._server_list(event)
            case api.ResponseStarted():
                self._stream_started(event)
            case api.ClientDisconnected():
                self.asking.pop(event.request_id, None)
                self._finish(self.held.get(event.request_id))
            case api.HostDisabled():
                self.fleet.set_disabled(event.host, event.disabled)
            case api.DrainStarted():
                self.quotas.drain()
            case api.TakenOver():
                self.quotas.taken_over = event.by_successor
            case api.SettingsChanged():
                self._change(event.settings)
            case api.TimerFired() | api.HealthCheckReply() | api.GossipMessage():
                pass
            case _:
                raise TypeError(f"not an event of hillmux.interface: {event!r}")

    def _change(self, settings: api.Settings) -> None:
        """Go over to new classes and bounds. What is open keeps what it began with; plans stay."""
        settings.check()
        if settings.plans != self.s.plans:
            raise ValueError("plans: cannot change in service")
        self.s, self.classes = settings, {c.name: c for c in settings.classes}
        self.fleet.change_settings(settings)
        self.quotas.change_settings(settings)
        used = {h.cls.name for h in self.held.values()} | set(self.classes)
        used |= {cls.name for quota in self.askers for _, cls, _, _ in quota.waiting or ()}
        self.latency = {n: v for n, v in self.latency.items() if n in used}
        self.cells = {key: cell for key, cell in self.cells.items() if key[0] in used}
        self.patience = {c.name: self.patience.get(c.name) or _Patience() for c in settings.classes}
        for c in settings.classes:
            self.latency.setdefault(c.name, c.latency_objective_ms / 10)

    def settled(self) -> bool:
        """Whether nothing is left that a fresh module of the same birth would not know from its list of
        hosts: no request, no customer's use that still counts, no cold, failing or dead host, no pressure.

        Such a module may be put away, and made anew from its settings when the next request comes: its first
        event, handled at the time of birth, gives ceilings back all that they have earned since.
        """
        return (
            self.idle()
            and self.quotas.is_quiescent()
            and all(
                not h.ejections and not h.connection_refused and self.fleet.capacity_share(h) >= 1
                for h in self.hosts.values()
            )
        )

    def idle(self) -> bool:
        """Whether the housekeeping timer may come seldom: nothing is held or asked, and no pressure is left
        that it would have to see fade."""
        return not self.held and not self.askers and not self.q_n and self.q < FADED and self.f >= 1.0

    def _server_list(self, event: api.EndpointList) -> None:
        if event.kind == ListKind.FAILED:
            self.out.append(api.SetTimer("subscribe", RESUBSCRIBE_MS * (1 + self.rng.random())))
            return
        self.fleet.update_endpoints(event)

    # --- Admission (SiRED) ------------------------------------------------------------------------------

    def _request(self, req: api.Request) -> None:
        cls, plan = self.classes.get(req.class_name), self.plans.get(req.plan_name)
        if req.id in self.held or req.id in self.asking:
            return
        if cls is None or plan is None or req.time_left_ms <= 0 or not self.hosts:
            self._refuse(
                req.id,
                RejectReason.UNKNOWN_CLASS_OR_PLAN
                if cls is None or plan is None
                else RejectReason.DEADLINE
                if req.time_left_ms <= 0
                else RejectReason.NO_HOST,
            )
            return
        end_at = self.now + req.time_left_ms
        aim_at = (
            end_at
            if cls.late_priority_weight > 0
            else min(self.now + cls.latency_objective_ms - self._spent(req, cls), end_at)
        )
        if aim_at <= self.now:
            self._refuse(req.id, RejectReason.DEADLINE)  # its aim has passed: whatever we did would be waste
            return
        quota = self.quotas.state_for(req, plan)
        if quota is None:
            self._refuse(req.id, RejectReason.TOO_MANY_CUSTOMERS)
            return
        # A try with little time left would be held past its end: it is decided at once.
        if aim_at - self.now > self.s.counter_timeout_ms + 2 * SWEEP_MS and self.quotas.should_ask_counter(
            quota, req.units
        ):
            if not self._admit(cls, plan, req.units):  # asking for what is shed would crowd the counter
                self._refuse_new(req, quota, RejectReason.OVERLOAD)
                return
            # Exception to refusing at once: the total that settles it is a few ms away.
            self.asking[req.id] = quota
            self.askers[quota] = None
            if quota.waiting is None:
                quota.waiting = []
            quota.waiting.append(WaitingRequest(req, cls, aim_at, end_at))
            self.quotas.report_use(quota, req.units)
        else:
            self._decide(req, cls, quota, aim_at, end_at, False)

    def _spent(self, req: api.Request, cls: api.RequestClass) -> float:
        """Time that the client spent on earlier tries, where its time left tells.

        Danger: late retries take quota and work from those in time. First tries share one time left; a
        shorter one was cut by the class's deadline. Hurts: clients with a short patience of their own; so it
        acts only while a third of the last tries agree on the usual time, and takes what the deadline shows.
        """
        if req.time_left_ms >= self.patience[cls.name].least_whole(req.time_left_ms):
            return 0.0
        return max(cls.deadline_ms - req.time_left_ms, 0.0)

    def _decide(
        self,
        req: api.Request,
        cls: api.RequestClass,
        quota: QuotaState,
        aim_at: float,
        end_at: float,
        admitted: bool,
    ) -> None:
        """Send on or refuse, at once."""
        plan = quota.plan
        over = not self.quotas.has_units(quota, req.units)
        if over:
            fits = plan.over_quota_weight > plan.over_quota_cost and self.q < ROOM * Q_MIN
        else:
            fits = admitted or self._admit(cls, plan, req.units)
        if not fits or not self.quotas.ceiling_has_units(quota, req.units):
            cause = RejectReason.CEILING if fits else RejectReason.QUOTA if over else RejectReason.OVERLOAD
            self._refuse_new(req, quota, cause, over)
            return
        held = _Held(
            req, cls, quota, aim_at, end_at, self.latency[cls.name] * max(req.units, 0.0), self.s.max_attempts
        )
        host = self._pick(held) if aim_at > self.now else None
        if host is None:
            self._refuse_new(
                req,
                quota,
                RejectReason.NO_HOST if held.aim_at > self.now else RejectReason.DEADLINE,
                over,
            )
            return
        self.held[req.id] = held
        self.bank = min(self.bank + RETRY_SHARE, RETRY_BANK)
        quota.ceiling_remaining -= req.units
        quota.open_requests += 1
        if over:
            held.over = True
        else:
            self.quotas.spend(quota, req.units)
        self.quotas.report_use(quota)
        self._send(held, host)

    def _admit(self, cls: api.RequestClass, plan: api.Plan, units: float) -> bool:
        """The accumulator: r += f; at 1 or more, subtract 1 and let in."""
        cell = self.cells.get((cls.name, plan.name))
        if cell is None:
            cell = self.cells[cls.name, plan.name] = _Cell()
        latency = self.latency[cls.name]
        cell.value = cls.priority_weight * plan.priority_weight / max(latency, 1e-6)
        cell.work += latency * max(units, 0.0)
        cell.r += cell.f
        if cell.r < 1.0 - ROUNDING:
            return False
        cell.r = max(cell.r - 1.0, 0.0)
        return True

    def _refuse_new(
        self, req: api.Request, quota: QuotaState, cause: RejectReason, over: bool = False
    ) -> None:
        self._refuse(req.id, cause, 1000 * req.units / quota.plan.rate if over and quota.plan.rate else 0.0)

    def _refuse(self, rid: str, cause: RejectReason, wait_ms: float = 0.0) -> None:
        """Refuse at once, and say when to come back: by the quota, or by the pressure on the back end."""
        wait_ms = max(wait_ms, SWEEP_MS / self.f)
        self.out.append(api.Reject(rid, min(wait_ms, self.s.max_retry_after_ms), cause))

    def _sample(self, held: _Held, attempt: _Attempt, event: api.AttemptEnded) -> None:
        """One outcome's occupancy: the part of the aim that it used up, or that a new one would."""
        if attempt.sent < self.stalled_at or event.result in NO_SAMPLE:
            return
        if self.fleet.outliers.is_outlier(attempt.host):
            return  # danger: a few bad hosts cut f for all; they are the business of health
        q = 1.0
        if event.result in (AttemptResult.OK, AttemptResult.ERROR):
            self.ok_q += (min(event.elapsed_ms / held.cls.latency_objective_ms, 1.0) - self.ok_q) / FEW
            self.lost -= self.lost / (4 * FEW)
            # Danger: foretold from two or three completions it is noise that cuts f for nothing.
            foretold = self.fleet.host_set.open_on_healthy / max(self.done_rate, 1e-9)
            trust = 0.5 * min(self.done_rate * (self.now - (self.born or 0.0)) / (3 * FEW), 1.0)
            q = min(
                (event.elapsed_ms + trust * (foretold - event.elapsed_ms)) / held.cls.latency_objective_ms,
                1.0,
            )
        elif event.result == AttemptResult.TIMED_OUT and self.ok_q < Q_MIN:
            # Danger: answers lost on their way, or stuck on single hosts, look like a jam. While the others
            # come fast, nothing waits. Hurts: the start of a jam is seen some answers later.
            self.lost += (1 - self.lost) / (4 * FEW)
            return
        self.q_sum += q
        self.q_n += 1
        if self.q_n >= OUTCOMES:
            self._update_f()

    def _update_f(self) -> None:
        if self.q_n:
            self.q_seen += self.q_n
            w = min(W, self.q_n / FEW) if self.q_seen > FEW else self.q_n / self.q_seen
            self.q = (1 - w) * self.q + w * self.q_sum / self.q_n
            self.q_sum, self.q_n = 0.0, 0
        elif not self.held:
            # Danger: near fmin a gateway of two requests a second has one outcome in ten seconds; q would
            # hold on long after a jam, so it fades while nothing is out. Hurts: long jams get more than fmin.
            self.q *= 1 - SWEEP_MS / max(c.latency_objective_ms for c in self.s.classes)
        late = 0
        if self.q_seen < FEW:
            # Danger: outcomes show a jam an aim late, and fresh gateways would fill it until then. What is
            # out for longer than Qmax of its aim counts as full. Hurts: lost answers press a fresh gateway.
            late = sum(
                a.open and self.now - a.sent > Q_MAX * h.cls.latency_objective_ms
                for h in self.held.values()
                for a in h.attempts
            )
        self.f = ramp((FEW * self.q + late) / (FEW + late))
        self.quotas.shedding_load = self.f < 1
        # Staggered ramps: worth per work decides whose ramp f reaches first; the sum over cells stays f.
        total, above = sum(c.work for c in self.cells.values()), 0.0
        for cell in sorted(self.cells.values(), key=lambda c: -c.value):
            share = cell.work / total if total > 0 else 1.0
            cell.f = max(F_MIN, min((self.f - above) / share, 1.0)) if share > 0 else self.f
            above += share
        if self.f < 0.9:
            self._say("pressed", f"back end pressed: q {self.q:.2f}, letting in {self.f:.0%}")

    # --- Quotas and ceiling -----------------------------------------------------------------------------

    def _count_reply(self, reply: api.CounterReply) -> None:
        quota = self.quotas.handle_reply(reply)
        if self.quotas.throttle.answer_rate < SILENT_RATE:
            self._say("counter", "counter silent or crowded: calling less, quotas go by our estimates")
        if quota is not None:
            self._settle(quota)
            if reply.result == AttemptResult.OK:
                self.quotas.report_use(quota)

    def _settle(self, quota: QuotaState) -> None:
        """Decide the requests that waited for a total."""
        waiting, quota.waiting = quota.waiting or [], None
        self.askers.pop(quota, None)
        if waiting:
            self.quotas.record_grant(quota, waiting[0].request.units)
        for req, cls, aim_at, end_at in waiting:
            if self.asking.pop(req.id, None) is not None:
                self._decide(req, cls, quota, aim_at, end_at, True)

    # --- Health of servers ----------------------------------------------------------------------------------

    def _judge(self, held: _Held, host: Host, event: api.AttemptEnded) -> None:
        """What an outcome says of its host."""
        usual = self._usual(held)
        if event.result == AttemptResult.OK:
            self.fleet.record_success(host)
            self.fleet.record_latency_ratio(host, event.elapsed_ms / usual)
            units = max(event.actual_units or held.req.units, 1e-6)
            self.latency[held.cls.name] += GAIN / 4 * (event.elapsed_ms / units - self.latency[held.cls.name])
            self.done += 1
        elif event.result == AttemptResult.CONNECT_FAILED:
            # Danger: a reset is one connection's end; taken for the host's death it would rest a good host
            # and call it cold. A dead one refuses the next dial.
            host.connection_refused = True
            self._down(host)
        elif event.result in (AttemptResult.RESET, AttemptResult.INCOMPLETE_REQUEST):
            host.consecutive_failures += 1
            if host.ejections or host.consecutive_failures >= STRIKES:
                self._down(host)
        elif event.result in (
            AttemptResult.ERROR,
            AttemptResult.TIMED_OUT,
            AttemptResult.QUEUE_FULL,
        ):
            self.fleet.record_latency_ratio(host, max(held.cls.latency_objective_ms / usual, 2.0))
            late = event.result == AttemptResult.TIMED_OUT and self.fleet.outliers.is_outlier(host)
            host.consecutive_failures += late or event.result == AttemptResult.ERROR
            if host.ejections or host.consecutive_failures >= STRIKES:
                self._down(host)

    def _down(self, host: Host) -> None:
        if self.fleet.eject(host):
            self._say("host", f"{host.name} fails: resting it")

    # --- Attempts and final answers -----------------------------------------------------------------------

    def _pick(self, held: _Held) -> Host | None:
        """The best server for a further attempt, under the rules on drains, pools and repeats."""
        if len(held.attempts) >= held.tries or held.answered or held.stream:
            return None
        region: tuple[str | int, ...] = ()
        tried = NOBODY
        if held.attempts:
            tried = [a.host for a in held.attempts]
            if held.out and not self.s.hedging_allowed:
                return None
            risky = [a for a in held.attempts if a.ran]
            if risky and held.cls.idempotency != Idempotency.IDEMPOTENT:
                if held.cls.idempotency == Idempotency.NOT_IDEMPOTENT:
                    return None
                if self.now - risky[0].sent > held.cls.idempotency_window_ms - 2 * self.s.clock_resolution_ms:
                    return None
                if held.cls.key_scope != KeyScope.GLOBAL:
                    cell = held.cls.key_scope == KeyScope.CELL
                    places = {(a.host.zone, a.host.cell) if cell else (a.host.zone,) for a in risky}
                    if len(places) > 1:
                        return None
                    region = places.pop()
        return self.fleet.select(
            held.req.pool, held.work, held.cls.idempotency == Idempotency.IDEMPOTENT, tried, region
        )

    def _send(self, held: _Held, host: Host, valid_ms: float = inf) -> None:
        """One attempt, given up when it can no longer be in time, or when it is better asked for again.

        Danger: an answer that never comes costs its whole aim, whoever lost it: a path, a stuck or a slow
        server. While answers get lost beside fast ones, what may be repeated ends early. Hurts: long jobs.
        """
        timeout = held.aim_at - self.now - self.s.clock_resolution_ms
        if timeout < 1.0:
            timeout = max(timeout, min(1.0, held.end_at - self.now))
        if self.lost > LOST and held.cls.idempotency != Idempotency.NOT_IDEMPOTENT and self.bank >= 1:
            early = max(timeout / 2, PATIENCE * self._usual(held))
            if len(held.attempts) + 1 < held.tries and early + self._usual(held) < timeout:
                timeout = early
        held.attempts.append(_Attempt(host, self.now))
        held.out += 1
        self.fleet.request_started(host, held.work)
        self.out.append(api.SendAttempt(held.req.id, host.name, timeout, valid_ms))

    def _answer(self, held: _Held) -> None:
        """The final answer of a request that will not be served."""
        may_have_run = any(a.ran for a in held.attempts)  # then a refusal would promise too much
        if may_have_run:
            self.out.append(api.Fail(held.req.id))
        else:
            self._refuse(held.req.id, RejectReason.NO_HOST)
        self._finish(held)

    def _finish(self, held: _Held | None) -> None:
        """No more is sent; attempts still out are called off, and awaited."""
        if held is None:
            return
        if held.out:
            if self.s.cancellation_allowed and not held.stream and not held.answered:
                self.out.extend(
                    api.CancelAttempt(held.req.id, i) for i, a in enumerate(held.attempts) if a.open
                )
            held.answered = True
            return
        held.answered = True
        if self.held.pop(held.req.id, None) is not None:
            held.quota.open_requests -= 1
            if held.unsent and held.unsent == len(held.attempts):
                # Else a client that leaves during a dial would use up a quota that nothing was sent for.
                self.quotas.refund(held.quota, held.req.units, held.over)

    def _stream_started(self, event: api.ResponseStarted) -> None:
        held = self.held.get(event.request_id)
        if held is not None and 0 <= event.attempt < len(held.attempts):
            attempt, held.stream = held.attempts[event.attempt], True
            if attempt.open and not attempt.streams:
                # Danger: a client that reads slowly keeps it open long after the host has done its work.
                attempt.streams = True
                self.fleet.request_ended(attempt.host)
                self.fleet.reindex(attempt.host)

    def _outcome(self, event: api.AttemptEnded) -> None:
        held = self.held.get(event.request_id)
        if held is None or not 0 <= event.attempt < len(held.attempts):
            return
        attempt = held.attempts[event.attempt]
        if not attempt.open:
            return
        attempt.open = False
        held.out -= 1
        if not attempt.streams:
            self.fleet.request_ended(attempt.host)
        if event.result in NEVER_EXECUTED:
            attempt.ran = False
            held.unsent += event.result in NEVER_DELIVERED
        if event.result != AttemptResult.NOT_SENT:
            self._sample(held, attempt, event)
            self._judge(held, attempt.host, event)
        self.fleet.reindex(attempt.host)
        if event.result == AttemptResult.OK and event.actual_units > 0 and held.quota.plan.rate > 0:
            self.quotas.spend(held.quota, event.actual_units - held.req.units)
            self.quotas.report_use(held.quota)
        if event.final or event.result == AttemptResult.OK or held.answered:
            self._finish(held)
        elif not held.out:
            # Danger: another server does not mend a bound of our own; asking it again at once is a loop.
            if event.result == AttemptResult.LOCAL_LIMIT or not self._again(held, event):
                self._answer(held)

    def _usual(self, held: _Held) -> float:
        return self.latency[held.cls.name] * max(held.req.units, 1e-6)

    def _again(self, held: _Held, event: api.AttemptEnded) -> bool:
        """A further attempt if it can still be in time and is paid for.

        A connection that broke at once has cost the servers next to nothing; all else costs a whole attempt.
        """
        price = 1.0
        if event.result == AttemptResult.NOT_SENT:
            price = 0.0  # its server was told to drain before the first byte: nothing was sent
        elif event.result in BROKEN:
            price = min(event.elapsed_ms / max(self._usual(held), 1e-6), 1.0)
        if self.bank < price or held.aim_at - self.now <= max(
            self._usual(held), 2 * self.s.clock_resolution_ms
        ):
            return False
        host = self._pick(held)
        if host is not None:
            self.bank -= price
            self._send(held, host, self._valid_ms(held))
        return host is not None

    def _valid_ms(self, held: _Held) -> float:
        """How long a repeat may still reach a host: with a key, as long as hosts recall what may have run.

        Danger: a connection may take its time to come up, and the host would run it a second time.
        """
        ran = [a.sent for a in held.attempts if a.ran]
        if held.cls.idempotency != Idempotency.KEYED or not ran:
            return inf
        return ran[0] + held.cls.idempotency_window_ms - 2 * self.s.clock_resolution_ms - self.now

    # --- Timers -------------------------------------------------------------------------------------------

    def _sweep(self) -> None:
        span = max(self.now - self.sweep_due + SWEEP_MS, 1.0)
        # Danger: a rate of two a second means nothing over one second: its memory holds some outcomes, too.
        memory = max(RATE_MEMORY_MS, 3 * FEW / max(self.done_rate, 1e-9))
        memory = min(memory, self.now - (self.born or 0.0))
        keep = memory / (memory + span)
        self.done_rate = keep * self.done_rate + (1 - keep) * self.done / span
        self.fleet.sweep(span, keep)
        self.done = 0.0
        for cell in self.cells.values():
            cell.work *= keep
        self._update_f()
        for quota in list(self.askers):
            # A reply that never comes must not cost the requests that wait for it their answers.
            if self.now - quota.called_at > self.s.counter_timeout_ms + SWEEP_MS:
                quota.call_open = False
                self._settle(quota)
        self.quotas.sweep()
        self.sweep_due = self.now + SWEEP_MS
        self.out.append(api.SetTimer("sweep", SWEEP_MS))

    def _say(self, cause: str, text: str) -> None:
        if self.now - self.said.get(cause, -1e9) >= 5000:
            self.said[cause] = self.now
            self.out.append(api.Log(text))
