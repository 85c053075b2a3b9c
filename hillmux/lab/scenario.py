"""A scenario: fleet, traffic, a timeline of faults, and what must hold. TOML, checked whole before a start.

Every fault of a file is told at once: the field, what was found, what may stand there.
"""

from __future__ import annotations

import os
import re
from pathlib import Path
from typing import Annotated, Literal

import tomli
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from hillmux.lab.checks import MIN_KILL_AFTER_TERM_MS, Criteria
from hillmux.lab.rules import CHECKERS, OPTIONAL_RULES
from hillmux.lab.streams import generator
from hillmux.lab.traffic import ClassTraffic, PlanTraffic, TrafficModel

Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
NotNegative = Annotated[float, Field(ge=0)]
PROCESS_MB, PROCESS_FILES = 40, 64  # of a gateway's process at rest
SPARE_MB = 512
MAX_REQUEST_UNITS = 4  # of a request
GATEWAY_FAULTS = ("kill", "term", "hup", "stop", "cont", "start")
HOST_FAULTS = ("crash", "restart", "drain", "remove", "ready", "hang", "slow", "failing", "well", "swap")
LINK_FAULTS = ("cut", "cut_in", "cut_out", "heal", "delay", "throttle", "reset_after")
PEER_FAULTS = ("lose", "duplicate", "reorder")  # of datagrams; links between gateways take these, too
COUNTER_FAULTS = ("counter_stop", "counter_keep", "counter_start", "counter_split", "counter_join")
DISCOVERY_FAULTS = ("silence", "speak", "forget", "clock")
FAULTS = (*GATEWAY_FAULTS, *HOST_FAULTS, *LINK_FAULTS, *PEER_FAULTS, *COUNTER_FAULTS, *DISCOVERY_FAULTS)
NOT_OF_DATAGRAMS = ("throttle", "reset_after")
RULES = tuple(CHECKERS)
USUAL_RULES = tuple(rule for rule in RULES if rule not in OPTIONAL_RULES)
MAX_DRAIN_MS = 3000.0  # of the longest deadline that the platform waits for after SIGTERM
NEEDS_VALUE = ("slow", "failing", "delay", "throttle", "reset_after", *PEER_FAULTS)
HOWS = {
    "counter_start": ("all", "nothing", "old"),
    "hup": ("", "moved"),
    "start": ("", "kept", "torn", "flipped", "twin"),
}
SNAPSHOT_HOWS = ("torn", "flipped", "twin")
SELECTOR = re.compile(
    r"@\w+|gateway:(\*|\d+)|host:(\*|h\d+)|zone:\w+|\d+% of (gateways|hosts)|(gateways|hosts) in \w+"
)


class ScenarioError(ValueError):
    """A file that is no scenario: each fault on a line of its own."""


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Fleet(_Model):
    """Sizes and figures of what is started."""

    gateways: Annotated[int, Field(ge=1, le=200)]
    hosts: Annotated[int, Field(ge=1, le=400)]
    zones: Annotated[tuple[str, ...], Field(min_length=1, max_length=8)] = ("a", "b")
    cores: Annotated[int, Field(ge=1, le=64)] = 3
    cold_from: Share = 0.3
    cold_ms: NotNegative = 8000
    fall_multiple: Positive = 2.0
    fall_ms: Positive = 1500
    connections: Annotated[int, Field(ge=1)] = 1000
    speed_spread: NotNegative = 0.12
    counter_per_s: Positive = 500
    counter_parts: Annotated[int, Field(ge=1, le=8)] = 2
    counter_wait_ms: Positive = 30
    list_late_ms: tuple[NotNegative, NotNegative] = (20, 300)
    notice_ms: NotNegative = 1000  # the front goes on sending to a gateway that died for so long
    drain_grace_ms: Positive = 1000
    peers: bool = False  # gateways may send one another datagrams
    snapshots_ms: NotNegative = 0  # between two snapshots of a gateway, on a disk that lasts; 0: none


class Plan(_Model):
    """A plan and its part of the load; rates in units a second for a customer."""

    name: str
    share: Positive
    rate: Positive
    burst: Positive
    worth: Positive = 1.0
    over_worth: NotNegative = 0.0
    over_cost: NotNegative = 0.0
    ceiling: NotNegative = 0.0  # times rate and burst; 0: none
    width: Annotated[int, Field(ge=1)] = 4


class Class(_Model):
    """A class and its part of the requests; work in milliseconds of one core."""

    name: str
    share: Positive
    work_ms: Positive
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive = 1.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    window_ms: NotNegative = 0.0


class Traffic(_Model):
    """First tries, drawn ahead from the seed, and what clients do with what comes back."""

    per_s: Positive
    plans: Annotated[tuple[Plan, ...], Field(min_length=1)]
    classes: Annotated[tuple[Class, ...], Field(min_length=1)]
    calm_use: Positive = 0.35
    heavy: Share = 0.05
    heavy_x: Positive = 3.0
    burst: Positive = 1.0
    burst_s: tuple[NotNegative, NotNegative] = (0.0, 0.0)
    retries: Annotated[int, Field(ge=0, le=10)] = 3
    backoff_ms: NotNegative = 300
    honour: Share = 0.6  # of the clients that obey Retry-After
    unruly_per_s: NotNegative = 0.0  # clients that leave, halt, pipeline, write slowly or have no time
    crowd: Annotated[int, Field(ge=0, le=2000)] = 0  # idle connections held at the first gateway

    def model(self, length_s: float) -> TrafficModel:
        """The traffic as it is drawn."""
        return TrafficModel(
            self.per_s,
            length_s,
            tuple(PlanTraffic(**plan.model_dump()) for plan in self.plans),
            tuple(ClassTraffic(**cls.model_dump()) for cls in self.classes),
            calm_use=self.calm_use,
            heavy=self.heavy,
            heavy_x=self.heavy_x,
            burst=self.burst,
            burst_s=self.burst_s,
        )


class Fault(_Model):
    """One thing that happens, at some moment, to whom `who` aims at."""

    at_s: NotNegative
    what: str  # of FAULTS
    who: str = "gateway:*"
    other: str = "host:*"  # the far ends of links: hosts, gateways, `counter` or `discovery`
    name: str = ""  # so that a later fault can aim at the same ones, as `@name`
    over_s: NotNegative = 0.0  # one after another, evenly over so long
    value: float = 0.0  # times slower, share that fails, milliseconds, bytes (a second); of a clock seconds
    # What a counter comes back with; `moved`: at a SIGHUP, discovery goes to another address; `kept`: a start
    # in the folder that the last process left; its snapshot cut (`torn`), damaged (`flipped`), or another
    # gateway's (`twin`).
    how: str = ""


class Hold(_Model):
    """What must hold."""

    rules: tuple[str, ...] = USUAL_RULES
    full_service_s: NotNegative = 0.0  # after the last fault; 0: not asked
    attempts_a_try: NotNegative = 0.0
    served: Share = 0.0  # of the worth asked for inside the quotas


class Scenario(_Model):
    """A whole day."""

    name: str
    about: str = ""
    seed: Annotated[int, Field(ge=0)] = 1
    length_s: Annotated[float, Field(gt=0, le=3600)]
    fleet: Fleet
    traffic: Traffic
    faults: tuple[Fault, ...] = ()
    hold: Hold = Hold()

    @model_validator(mode="after")
    def _aims(self) -> Scenario:
        wrong = [
            f"hold.rules.{i}: found {rule!r}, expected one of {', '.join(RULES)}"
            for i, rule in enumerate(self.hold.rules)
            if rule not in RULES
        ]
        named: dict[str, list[str]] = {}
        for i, fault in enumerate(self.faults):
            wrong += [f"faults.{i}.{text}" for text in _wrong(fault, self, named, i)]
        if wrong:
            raise ValueError("\n".join(wrong))
        return self


def _wrong(fault: Fault, scenario: Scenario, named: dict[str, list[str]], index: int) -> list[str]:
    """What is wrong with one fault, each with its field; notes what its name aims at."""
    what, wrong = fault.what, []
    if what not in FAULTS:
        return [f"what: found {what!r}, expected one of {', '.join(FAULTS)}"]
    if fault.at_s > scenario.length_s:
        wrong.append(f"at_s: found {fault.at_s}, expected at most length_s ({scenario.length_s})")
    if what in NEEDS_VALUE and fault.value <= 0:
        wrong.append(f"value: found {fault.value}, expected more than 0 for {what}")
    elif fault.value < 0 and what != "clock":
        wrong.append(f"value: found {fault.value}, expected 0 or more for {what}")
    if fault.how in SNAPSHOT_HOWS and not scenario.fleet.snapshots_ms:
        wrong.append(f"how: found {fault.how!r}, expected fleet.snapshots_ms above 0 beside it")
    if fault.how not in HOWS.get(what, ("",)):
        expected = " or ".join(repr(how) for how in HOWS.get(what, ("",)))
        wrong.append(f"how: found {fault.how!r}, expected {expected} for {what}")
    if what in COUNTER_FAULTS and what != "counter_split":
        return wrong
    kind = "h" if what in HOST_FAULTS else "g"
    wrong += _aimed("who", fault.who, kind, scenario, named, index)
    if what in PEER_FAULTS or (what in LINK_FAULTS and _at_gateways(fault, named)):
        wrong += _aimed("other", fault.other, "g", scenario, named, index)
        if what in NOT_OF_DATAGRAMS:
            wrong.append(f"other: found {fault.other!r}, expected hosts, counter or discovery for {what}")
        if not scenario.fleet.peers:
            wrong.append("what: found a fault between gateways, expected fleet.peers = true beside it")
        if what in PEER_FAULTS and fault.value > 1:
            wrong.append(f"value: found {fault.value}, expected a share, 1 at most, for {what}")
    elif what in LINK_FAULTS and fault.other not in ("counter", "discovery"):
        wrong += _aimed("other", fault.other, "h", scenario, named, index)
    if fault.name:
        named[fault.name] = [] if wrong else _resolve(fault.who, scenario, named, index)
    return wrong


def _at_gateways(fault: Fault, named: dict[str, list[str]]) -> bool:
    """Whether the far ends of a link are gateways."""
    if fault.other.startswith("@"):
        return any(name.startswith("g") for name in named.get(fault.other[1:], []))
    return "gateway" in fault.other


def _aimed(
    field: str, text: str, kind: str, scenario: Scenario, named: dict[str, list[str]], index: int
) -> list[str]:
    """What is wrong with an aim, of which gateways (`g`) or hosts (`h`) are expected."""
    wanted = "gateways" if kind == "g" else "hosts"
    if SELECTOR.fullmatch(text) is None:
        expected = "gateway:N or :*" if kind == "g" else "host:hN or :*, zone:Z"
        return [f"{field}: found {text!r}, expected {expected}, N% of {wanted}, {wanted} in Z, or @name"]
    if text.startswith("@") and text[1:] not in named:
        return [f"{field}: found {text!r}, expected the name of an earlier fault"]
    zone = re.fullmatch(r"(?:zone:|\w+ in )(\w+)", text)
    if zone is not None and zone[1] not in scenario.fleet.zones:
        return [f"{field}: found zone {zone[1]!r}, expected one of {', '.join(scenario.fleet.zones)}"]
    found = _resolve(text, scenario, named, index)
    if not found and not text.startswith("@"):
        return [f"{field}: found {text!r}, which is nobody in this fleet, expected {wanted}"]
    if found and not found[0].startswith(kind):
        return [f"{field}: found {text!r}, expected {wanted}"]
    return []


def load(path: Path) -> Scenario:
    """A scenario from its file; ScenarioError tells all that is wrong with it."""
    try:
        raw = tomli.loads(path.read_text(encoding="utf-8"))
    except (OSError, tomli.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: cannot be read: {error}") from None
    try:
        return Scenario.model_validate(raw)
    except ValidationError as error:
        lines = []
        for fault in error.errors():
            if fault["type"] == "value_error":
                lines += str(fault["ctx"]["error"]).splitlines()
            else:
                field = ".".join(map(str, fault["loc"]))
                found = "" if fault["type"] == "missing" else f"found {fault['input']!r}, "
                lines.append(f"{field}: {found}{fault['msg']}")
        raise ScenarioError("\n".join(f"{path}: {line}" for line in lines)) from None


def resource_needs(scenario: Scenario) -> tuple[int, int, int]:
    """Processes, megabytes and descriptors of one process that a run takes, roughly."""
    fleet = scenario.fleet
    doors = fleet.gateways * (fleet.hosts + 2)
    return fleet.gateways + 3, SPARE_MB + PROCESS_MB * fleet.gateways, 3 * doors + PROCESS_FILES


def resource_shortages(scenario: Scenario, memory_mb: int, files: int) -> list[str]:
    """Why this machine can't bear a run; nothing where it can."""
    _, megabytes, descriptors = resource_needs(scenario)
    wrong = []
    if megabytes > memory_mb:
        wrong.append(f"memory: {megabytes} MB are needed, {memory_mb} MB are free")
    if descriptors > files:
        wrong.append(f"descriptors: {descriptors} are needed in one process, {files} are allowed")
    return wrong


def free_mb() -> int:
    """Memory that can be had, in MB."""
    return os.sysconf("SC_AVPHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") >> 20


# --- What it is judged by ---


def slack(most: float) -> float:
    """A ceiling's slack in units: a tenth of its store, or one of the largest requests."""
    return max(0.1 * most, float(MAX_REQUEST_UNITS))


def criteria(scenario: Scenario) -> Criteria:
    """What a scenario's record is judged by."""
    plans = scenario.traffic.plans
    return Criteria(
        scenario.fleet.drain_grace_ms,
        scenario.fleet.fall_ms,
        {
            p.name: (p.ceiling * p.rate, p.ceiling * p.burst, slack(p.ceiling * p.burst))
            for p in plans
            if p.ceiling
        },
        {p.name: (p.rate, p.burst) for p in plans},
        min(max(c.deadline_ms for c in scenario.traffic.classes), MAX_DRAIN_MS) + MIN_KILL_AFTER_TERM_MS,
    )


# --- The schedule: who is hit when, from the seed ---


class ScheduledFault(_Model):
    """One fault at one target."""

    at_ms: float
    target: str  # a gateway (`g3`) or a host (`h3`), `counter`, or `g3>h5` for a link
    fault: Fault


def zone_of(number: int, zones: tuple[str, ...]) -> str:
    """The zone of a gateway or host, by its number."""
    return zones[number % len(zones)]


def _resolve(text: str, scenario: Scenario, named: dict[str, list[str]], index: int) -> list[str]:
    fleet = scenario.fleet
    gateways = [f"g{i}" for i in range(fleet.gateways)]
    hosts = [f"h{i}" for i in range(fleet.hosts)]
    if text in ("counter", "discovery"):
        return [text]
    if text.startswith("@"):
        return named[text[1:]]
    if found := re.fullmatch(r"(\d+)% of (gateways|hosts)", text):
        all_ = gateways if found[2] == "gateways" else hosts
        count = round(len(all_) * int(found[1]) / 100)
        return [
            all_[i] for i in sorted(generator(scenario.seed, f"fault.{index}").permutation(len(all_))[:count])
        ]
    kind, _, rest = text.partition(":")
    if kind == "zone":
        return [h for i, h in enumerate(hosts) if zone_of(i, fleet.zones) == rest]
    if found := re.fullmatch(r"(gateways|hosts) in (\w+)", text):
        all_ = gateways if found[1] == "gateways" else hosts
        return [x for i, x in enumerate(all_) if zone_of(i, fleet.zones) == found[2]]
    if kind == "gateway":
        return gateways if rest == "*" else [g for g in gateways if g == f"g{rest}"]
    return hosts if rest == "*" else [h for h in hosts if h == rest]


def schedule(scenario: Scenario) -> list[ScheduledFault]:
    """Every fault at every target, in the order of their times. A scenario and its seed give the same."""
    named: dict[str, list[str]] = {}
    scheduled = []
    for index, fault in enumerate(scenario.faults):
        if fault.what in COUNTER_FAULTS and fault.what != "counter_split":
            targets = ["counter"]
        else:
            targets = _resolve(fault.who, scenario, named, index)
            if fault.name:
                named[fault.name] = targets
            if fault.what in ("counter_split", "swap"):
                targets = [",".join(targets)]
            elif fault.what in (*LINK_FAULTS, *PEER_FAULTS):
                others = _resolve(fault.other, scenario, named, index)
                targets = [f"{a}>{b}" for a in targets for b in others if a != b]
        step = 1000 * fault.over_s / max(len(targets), 1)
        scheduled += [
            ScheduledFault(at_ms=1000 * fault.at_s + i * step, target=t, fault=fault)
            for i, t in enumerate(targets)
        ]
    return sorted(scheduled, key=lambda s: s.at_ms)
