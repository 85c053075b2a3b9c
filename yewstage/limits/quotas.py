"""What is known of each customer's use, and this gateway's parts of quotas and ceilings.

Theory of operation. A customer's quota is one store over all gateways of its set. What they use is added up
by the counter, under a name for each window; between two totals a gateway goes by its own use and an
estimate of the others'. With no total to go by it keeps to an even split. A ceiling is never shared by
totals, which may be lost or late: each gateway holds a part of its own that it earns anew after a start.

Free of I/O; times in milliseconds on the module's clock, amounts in quota units.
"""

from __future__ import annotations

import hashlib
import random
from collections import deque
from collections.abc import Callable

from yewstage import interface as api
from yewstage.limits.parts import draw
from yewstage.sketch import LatestTimes

WINDOWS = 2.0  # a count's window, in burst / rate: what idle times left unused in one is not lent out later
SPLIT = 1.5  # our part of a silent counter's even split while there is room: use is uneven, peers may be dead
OTHERS_MS = 1000.0  # memory of the others' rate of use
HEED, CROWD = 0.35, 4  # weight of one counter reply in a mean of them; the power of the mean that thins calls
CUTS = 4  # counter calls cut off with no answer between them: more than one connection's end breaks
CALL_REST_MS = 1000.0  # one call in this time is made however few are answered: it finds the counter's return
FORGET_WINDOWS = 3.0  # windows without a request after which what was read of a customer's use is no guide
KEEP_MS = 120000.0  # a customer is forgotten that long after its last request, to make it anew costs more
LOOKS, SWEEPS = 64, 1200  # customers looked at in one sweep, and sweeps in which all are, where that is more
CHOICES = 8  # customers weighed against each other when one must go early
KEEP_MAX_MS = 60000.0  # longest life of a count
IDLE_MS = 1000.0  # the rest of a customer whose plan has no quota


class Use:
    """One customer's use: the count of this window, and this gateway's part of the ceiling."""

    __slots__ = (
        "key",
        "plan",
        "width",
        "widest",
        "digest",
        "window",
        "name",
        "own",
        "added",
        "base",
        "base_own",
        "base_at",
        "base_use",
        "base_left",
        "most",
        "left",
        "left_at",
        "others",
        "calling",
        "in_call",
        "call_at",
        "asking",
        "open",
        "seen",
        "ceiling",
        "ceiling_at",
        "luck",
    )

    def __init__(self, key: tuple[str, str], plan: api.Plan, width: int, now: float, age: float) -> None:
        self.key, self.plan, self.seen = key, plan, now
        self.width = self.widest = width  # of its set, as named in this window or the last; in this one
        # Windows start at a phase of the customer's own: no herd of calls at their edges.
        self.digest = hashlib.blake2s(key[0].encode(), digest_size=8).digest()
        self.window, self.name = -1, ""
        self.own = self.added = self.in_call = 0.0  # our use in the window; told; in a call
        self.calling, self.call_at = False, 0.0
        self.base: float | None = None  # last total read; None: nothing read in this life
        self.base_own = self.base_use = self.base_at = 0.0  # what it held of ours, our use then, when
        self.most = self.base_left = plan.burst  # left if the others use nothing; the same at base
        self.others = plan.rate / 1000 * (1 - 1 / width)  # estimate of the others' use, units per ms
        # Danger: a gateway back from the dead has spent what it no longer knows. It earns its split anew.
        self.left, self.left_at = min(plan.burst, plan.rate * age / 1000) / width, now
        # Wait for a total: request, class, aim, end. None while there are none: most never have one.
        self.asking: list[tuple[api.Request, api.RequestClass, float, float]] | None = None
        self.open = 0
        self.ceiling = self.ceiling_at = 0.0
        self.luck = 1.0  # part of our asking that found something left


class Quotas:
    """Every customer that is known, and the counter calls that keep it so.

    `settle` is called with a customer whose window ends while requests of it wait for a total.
    """

    def __init__(self, settings: api.Settings, rng: random.Random, settle: Callable[[Use], None]) -> None:
        self.s, self.rng, self.settle = settings, rng, settle
        self.out: list[api.Action] = []  # where calls go, as the module's actions
        self.now = 0.0
        self.born: float | None = None
        self.pressed = False  # the back end lets in less than all
        # A window's number tells plans apart but for those with windows of one length. Names stay:
        # gateways of two versions must count together while a new one is rolled out.
        self.windows = {p.name: self._window_ms(p) if p.rate > 0 else 0.0 for p in settings.plans}
        # Unseen for so long, a customer's use is no guide any longer, and its ceiling is full again.
        self.rests = {
            p.name: max(
                FORGET_WINDOWS * (self.windows[p.name] or IDLE_MS),
                1000 * p.ceiling_burst / p.ceiling_rate if p.ceiling_rate > 0 else 0.0,
            )
            for p in settings.plans
        }
        self.asked_at: dict[str, float] = {}  # the last request under each plan
        lengths = list(self.windows.values())
        self.tags = {
            p.name: f".{i}" if lengths.count(lengths[i]) > 1 else "" for i, p in enumerate(settings.plans)
        }
        self.uses: dict[tuple[str, str], Use] = {}  # by customer and plan
        self.ring: deque[Use] = deque()  # the same, in the order in which they are looked at for forgetting
        self.shadow = LatestTimes()  # since when ceilings fill whose customers went early
        self.calls: dict[str, Use] = {}  # by the name of its count, while a call is out
        self.heard, self.call_at = 1.0, 0.0  # part of our counter calls answered; the last one's time
        self.cuts = 0  # calls cut off since the last answer
        self.succeeded = False  # another process holds our parts of ceilings

    def use(self, req: api.Request, plan: api.Plan) -> Use | None:
        """What is known of a customer under a plan; None where there is no room to know one more.

        Danger: another plan in a customer's name would reset its use, and a wide set once named would shrink
        its parts for good. So each plan counts by itself, and a set holds for a window and the next.
        """
        width = max(1, min(req.width, self.s.fleet_size))
        key = (req.customer, plan.name)
        use = self.uses.get(key)
        if use is None:
            if len(self.uses) >= self.s.most_customers and not self._forget_one():
                return None
            use = self.uses[key] = Use(key, plan, width, self.now, self.now - (self.born or 0.0))
            use.ceiling_at = max(self.born or 0.0, self.shadow.at(use.digest))
            self.ring.append(use)
        unseen, use.seen = self.now - use.seen, self.now
        self.asked_at[plan.name] = self.now
        if plan.rate > 0:
            length = self.windows[plan.name]
            clock = self.now / length + (use.digest[0] << 8 | use.digest[1]) / 65536
            if int(clock) != use.window:
                self._roll(use, int(clock), self.now - clock % 1 * length)
                if unseen >= FORGET_WINDOWS * length:
                    # Danger: what was read long ago is no guide, and to ask anew for each of 100,000 seldom
                    # seen customers crowds the counter. Our split of the burst goes untold at most.
                    use.left = min(self.left(use), plan.burst / use.width)
        if width > use.widest:
            use.widest = width
            use.width = max(use.width, width)
        return use

    def _forget_one(self) -> bool:
        """Make room for a customer by forgetting one early, of a few the one unseen for the longest.

        What it has of its ceiling is noted. Of its quota the counter knows all but the last few requests.
        """
        best, at, ring = None, 0, self.ring
        looks = min(CHOICES, len(ring))
        for i in range(looks):
            use = ring[0]
            ring.rotate(-1)
            if not use.open and not use.asking and (best is None or use.seen < best.seen):
                best, at = use, i
        if best is None:
            return False
        del ring[len(ring) - looks + at]
        rate = best.plan.ceiling_rate / 1000 / best.width
        if rate > 0:
            self.shadow.put(best.digest, best.ceiling_at - best.ceiling / rate)
        self._forget(best)
        return True

    def _forget(self, use: Use) -> None:  # off the ring already
        del self.uses[use.key]
        self.calls.pop(use.name, None)

    @staticmethod
    def _window_ms(plan: api.Plan) -> float:
        return min(max(WINDOWS * 1000.0 * plan.burst / plan.rate, 1.0), KEEP_MAX_MS / 2)

    def _roll(self, use: Use, window: int, start: float) -> None:
        """A new window: a new count. What was left unused is carried over, the burst at most.

        Danger: a gateway that sees a customer once in many seconds rolls late; what the others used since the
        window's start is in its total, so what was left is taken at that start, too.
        """
        self.calls.pop(use.name, None)
        self.settle(use)
        use.window, use.name = window, ""
        use.width, use.widest = use.widest, 1
        self.left(use, start)
        known = use.most if use.base is None else max(use.left, 0.0)
        # Danger: a total holds what the others used since the window's start, not since we came to see the
        # customer. Laid on the time since then, the use of seconds looked like that of one millisecond.
        use.base_at, use.base_left = start if use.base is None else max(start, use.left_at), known
        use.own = use.base_use = use.own - use.added  # not told yet: told in the new window
        use.added = use.base_own = 0.0
        use.calling = False
        use.base = None if use.base is None else 0.0

    def left(self, use: Use, at: float | None = None) -> float:
        """What is left of the quota: carried + rate x time - our use - the others' as read or estimated."""
        span = (self.now if at is None else at) - use.left_at
        if span <= 0:
            return use.left
        burst, rate = use.plan.burst, use.plan.rate / 1000
        part = min(1.0, (1.0 if self.pressed else SPLIT) / use.width)
        use.most = min(burst, use.most + rate * span)
        gain, most = (0.0, burst * part) if use.base is None else (rate - use.others, burst)
        if use.base is None or self.heard < 0.5:  # nothing is known, or no more: our split at least
            gain = max(gain, rate * part)
        use.left = min(most, use.left + gain * span)
        use.left_at += span
        return use.left

    def unsure(self, use: Use, units: float) -> bool:
        """Nothing was read, or the estimate says no or maybe and the last total does not."""
        if not self.s.may_count or use.plan.rate <= 0:
            return False
        if use.base is None:
            return self.may_call()
        doubt = (max(use.others, 0.0) * (self.now - use.base_at)) ** 0.5  # the others' use may vary so much
        if self.left(use) - doubt >= units or units > use.most or not self.may_call():
            return False
        return self.rng.random() < max(use.luck, self.heard**CROWD)

    def may_call(self) -> bool:
        """Danger: the crowd at the counter is us. Unanswered calls thin out ours; what was not told waits.

        Holds against a slow, silent or small counter alike. Hurts: totals are older while it acts.
        """
        return self.rng.random() < self.heard**CROWD or self.now > self.call_at + CALL_REST_MS

    @staticmethod
    def spend(use: Use, units: float) -> None:
        use.own += units
        use.left -= units
        use.most -= units

    def give_back(self, use: Use, units: float, over: bool) -> None:
        """A try of which no attempt left took nothing of its ceiling, nor, unless `over`, of its quota."""
        use.ceiling += units  # `ceiling_has` holds it to what is full
        if not over:
            self.spend(use, -units)
            self.sync(use)

    def has(self, use: Use, units: float) -> bool:
        plan = use.plan
        if plan.parallel and use.open >= max(1, plan.parallel // use.width):
            return False
        if plan.rate <= 0:
            return True
        if use.base is None and use.own == 0:
            return True  # one request costs nearly nothing, and its count call tells us more
        self.left(use)
        if use.base is None or self.heard < 0.5:
            use.left = draw(self.rng, use.left, units)  # hurts: small parts serve by luck
        return use.left >= units - 1e-9

    def ceiling_has(self, use: Use, units: float) -> bool:
        """This gateway's part of the ceiling, 1 / width of its rate and burst, empty at our start.

        Invariant: the parts of all gateways never sum to more than the customer's store, whatever happens to
        messages, counters and clocks: they fill no faster, hold no more, and a restart only
        loses what was held.
        """
        plan = use.plan
        if plan.ceiling_rate <= 0 or self.succeeded:
            return plan.ceiling_rate <= 0
        full = plan.ceiling_burst / use.width
        gained = (self.now - use.ceiling_at) * plan.ceiling_rate / 1000 / use.width
        use.ceiling = min(full, use.ceiling + gained)
        use.ceiling_at = self.now
        return units <= use.ceiling + 1e-9

    def sync(self, use: Use, reserve: float = 0.0) -> None:
        """Tell the counter, in batches that shrink as the customer nears its limit."""
        newer = use.own - use.added + reserve  # asked and told in one; a refusal is taken off again
        if not self.s.may_count or use.plan.rate <= 0 or use.calling:
            return
        if not reserve and (not newer or 0 < newer * use.width < self.left(use) or not self.may_call()):
            return
        use.calling, use.call_at, self.call_at = True, self.now, self.now
        use.added += newer
        use.in_call = newer
        use.name = f"{use.digest.hex()}{self.tags[use.plan.name]}.{use.window}"
        self.calls[use.name] = use
        self.out.append(api.Count(use.name, newer, min(2 * self.windows[use.plan.name], KEEP_MAX_MS)))

    def _hear(self, result: str) -> None:
        """Note one call's end in the share of calls that are answered.

        Danger: what a good counter did not add to the silence, taken for it, blinds the quotas: they refuse
        with room and let in beyond. A spoilt answer is one all the same. A cut connection (a proxy or a part
        of the counter that starts anew, a cap on connections, an idle limit) says nothing of the pace of
        answers on the others; only cuts with no answer between them mean a counter that is gone. Hurts: one
        that sheds load by cuts alone, and answers one call in CUTS, is called in full.
        """
        answered = result in (api.OK, api.SPOILT)
        self.cuts = 0 if answered else self.cuts + (result == api.CUT)
        if result != api.CUT or self.cuts > CUTS:
            self.heard += HEED * (answered - self.heard)

    def _read(self, use: Use, total: float) -> None:
        """A total: what the others used since the last one comes off what is left."""
        span = max(self.now - use.base_at, 1.0)
        others = total - (use.base or 0.0) - (use.added - use.base_own)
        self.left(use)
        if total >= use.added - 1e-6 and others >= -1e-6:
            # Danger: what a first total holds may have been spent a moment ago, from a full store: the refill
            # since the window's start is not lent on it. Hurts: who spends evenly seems to have less.
            refill = 0.0 if use.base is None else use.plan.rate * span / 1000
            full = use.base_left + refill - others - (use.own - use.base_use)
            # Danger: what overshot took nothing from the store, so it must not be owed ever after.
            use.left = use.most = max(min(full, use.most), 0.0)
            keep = 0.0 if use.base is None else OTHERS_MS / (OTHERS_MS + span)
            use.others = keep * use.others + (1 - keep) * others / span
        # Else the counter lost its counts: what is left stays as we know it, the count goes on from here.
        use.base, use.base_own, use.base_use = total, use.added, use.own
        use.base_left, use.base_at = use.most, self.now

    def replied(self, reply: api.CountReply) -> Use | None:
        """Take one call's end; whose it was, None where nobody waits for it any more."""
        self._hear(reply.result)
        use = self.calls.pop(reply.name, None)
        if use is None or not use.calling:
            return None
        use.calling, use.name = False, ""
        if reply.result == api.OK:
            self._read(use, reply.total)
        elif reply.result not in (api.TIMED_OUT, api.CUT, api.SPOILT):
            use.added -= use.in_call  # a call that may have counted is not added twice
        return use

    @staticmethod
    def found(use: Use, units: float) -> None:
        """What asking for a customer came to: danger: all gateways ask again and again for one who floods."""
        use.luck = max(use.luck + HEED * ((use.left >= units) - use.luck), 1 / use.width)

    def sweep(self) -> None:
        """Forget customers long unseen, a few looked at each time."""
        for _ in range(min(len(self.ring), max(LOOKS, len(self.ring) // SWEEPS))):
            use = self.ring.popleft()
            # A forgotten ceiling part starts anew from our start: only one that would be full again may go.
            if (
                self.now - use.seen >= max(self.rests[use.plan.name], KEEP_MS)
                and not use.open
                and not use.asking
            ):
                self._forget(use)
            else:
                self.ring.append(use)

    def settled(self) -> bool:
        """Whether no customer's use still counts."""
        return all(self.now - at >= self.rests[plan] for plan, at in self.asked_at.items())
