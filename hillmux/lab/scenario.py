"""A scenario: fleet, traffic, a timeline of faults and the requirements on the run, as a TOML file.

A file is checked completely before a run starts. All its errors are reported together, each with the field,
the value found and the values allowed.
"""

from __future__ import annotations

import os
import re
from pathlib import Path
from typing import Annotated, Literal

import tomli
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from hillmux.lab.checks import MIN_KILL_AFTER_TERM_MS, Criteria
from hillmux.lab.random_streams import generator
from hillmux.lab.rules import CHECKERS, OPTIONAL_RULES
from hillmux.lab.traffic import ClassTraffic, PlanTraffic, TrafficModel

Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
NotNegative = Annotated[float, Field(ge=0)]
PROCESS_MB, PROCESS_FILES = 40, 64  # memory and descriptors of an idle gateway process
SPARE_MB = 512  # memory needed besides the gateways
MAX_REQUEST_UNITS = 4  # most units that one request costs
GATEWAY_FAULTS = ("kill", "term", "hup", "stop", "cont", "start")
HOST_FAULTS = ("crash", "restart", "drain", "remove", "ready", "hang", "slow", "failing", "well", "swap")
LINK_FAULTS = ("cut", "cut_in", "cut_out", "heal", "delay", "throttle", "reset_after")
# Faults of datagrams between gateways, whose links accept link faults as well.
PEER_FAULTS = ("lose", "duplicate", "reorder")
COUNTER_FAULTS = ("counter_stop", "counter_keep", "counter_start", "counter_split", "counter_join")
DISCOVERY_FAULTS = ("silence", "speak", "forget", "clock")
FAULTS = (*GATEWAY_FAULTS, *HOST_FAULTS, *LINK_FAULTS, *PEER_FAULTS, *COUNTER_FAULTS, *DISCOVERY_FAULTS)
CONNECTION_ONLY_FAULTS = ("throttle", "reset_after")  # link faults without a meaning for datagrams
RULES = tuple(CHECKERS)
DEFAULT_RULES = tuple(rule for rule in RULES if rule not in OPTIONAL_RULES)
MAX_DRAIN_MS = 3000.0  # after SIGTERM the platform waits for the longest deadline, up to this time
FAULTS_WITH_VALUE = ("slow", "failing", "delay", "throttle", "reset_after", *PEER_FAULTS)
ALLOWED_HOWS = {  # values of `how`, by fault
    "counter_start": ("all", "nothing", "old"),
    "hup": ("", "moved"),
    "start": ("", "kept", "torn", "flipped", "twin"),
}
SNAPSHOT_HOWS = ("torn", "flipped", "twin")
SELECTOR = re.compile(
    r"@\w+|gateway:(\*|\d+)|host:(\*|h\d+)|zone:\w+|\d+% of (gateways|hosts)|(gateways|hosts) in \w+"
)


class ScenarioError(ValueError):
    """A file is no valid scenario; the message has one line for each error."""


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Fleet(_Model):
    """Sizes and properties of the processes that a run starts."""

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
    notice_ms: NotNegative = 1000  # time until the load balancer stops sending to a gateway that died
    drain_grace_ms: Positive = 1000
    peers: bool = False  # whether gateways may send each other datagrams
    snapshots_ms: NotNegative = 0  # interval of a gateway's snapshots, on a disk that outlasts it; 0: none


class Plan(_Model):
    """A plan and its share of the load; `rate` and `burst` are a customer's, in units a second and units."""

    name: str
    share: Positive
    rate: Positive
    burst: Positive
    worth: Positive = 1.0
    over_worth: NotNegative = 0.0
    over_cost: NotNegative = 0.0
    ceiling: NotNegative = 0.0  # ceiling as a multiple of rate and burst; 0: no ceiling
    width: Annotated[int, Field(ge=1)] = 4


class Class(_Model):
    """A class and its share of the requests; `work_ms` is the time of one core that a request takes."""

    name: str
    share: Positive
    work_ms: Positive
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive = 1.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    window_ms: NotNegative = 0.0


class Traffic(_Model):
    """First requests, which are drawn in advance from the seed, and the retries of clients."""

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
    honour: Share = 0.6  # share of the clients that obey Retry-After
    unruly_per_s: NotNegative = 0.0  # clients that disconnect, stall, pipeline, are slow or hurry
    crowd: Annotated[int, Field(ge=0, le=2000)] = 0  # idle connections held at the first gateway

    def model(self, length_s: float) -> TrafficModel:
        """Return the model from which the traffic is drawn."""
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
    """A fault at the time `at_s`, applied to every target that `who` selects."""

    at_s: NotNegative
    what: str  # one of FAULTS
    who: str = "gateway:*"
    other: str = "host:*"  # the other ends of links: hosts, gateways, `counter` or `discovery`
    name: str = ""  # a later fault selects the same targets by `@name`
    over_s: NotNegative = 0.0  # spreads the targets evenly over this time; 0: all at once
    # By fault: factor of slowness, share of failures, milliseconds, bytes (a second), or seconds of a clock.
    value: float = 0.0
    # The data with which a counter starts again; `moved`: discovery changes its address at a SIGHUP; `kept`:
    # a gateway starts in its previous process's folder; the same with the snapshot truncated (`torn`),
    # damaged (`flipped`) or replaced by another gateway's (`twin`).
    how: str = ""


class Hold(_Model):
    """Requirements on a run."""

    rules: tuple[str, ...] = DEFAULT_RULES
    full_service_s: NotNegative = 0.0  # longest time to full service after the last fault; 0: not required
    attempts_a_try: NotNegative = 0.0  # most attempts for each first request; 0: not required
    served: Share = 0.0  # least share of the priority weight offered within quotas


class Scenario(_Model):
    """A complete scenario."""

    name: str
    about: str = ""
    seed: Annotated[int, Field(ge=0)] = 1
    length_s: Annotated[float, Field(gt=0, le=3600)]
    fleet: Fleet
    traffic: Traffic
    faults: tuple[Fault, ...] = ()
    hold: Hold = Hold()

    @model_validator(mode="after")
    def _check_faults(self) -> Scenario:
        errors = [
            f"hold.rules.{i}: found {rule!r}, expected one of {', '.join(RULES)}"
            for i, rule in enumerate(self.hold.rules)
            if rule not in RULES
        ]
        targets_by_name: dict[str, list[str]] = {}
        for i, fault in enumerate(self.faults):
            errors += [f"faults.{i}.{text}" for text in _fault_errors(fault, self, targets_by_name, i)]
        if errors:
            raise ValueError("\n".join(errors))
        return self


def _fault_errors(
    fault: Fault, scenario: Scenario, targets_by_name: dict[str, list[str]], index: int
) -> list[str]:
    """Return the errors of one fault, each with its field; adds the fault's targets to `targets_by_name`."""
    what, errors = fault.what, []
    if what not in FAULTS:
        return [f"what: found {what!r}, expected one of {', '.join(FAULTS)}"]
    if fault.at_s > scenario.length_s:
        errors.append(f"at_s: found {fault.at_s}, expected at most length_s ({scenario.length_s})")
    if what in FAULTS_WITH_VALUE and fault.value <= 0:
        errors.append(f"value: found {fault.value}, expected more than 0 for {what}")
    elif fault.value < 0 and what != "clock":
        errors.append(f"value: found {fault.value}, expected 0 or more for {what}")
    if fault.how in SNAPSHOT_HOWS and not scenario.fleet.snapshots_ms:
        errors.append(f"how: found {fault.how!r}, expected fleet.snapshots_ms above 0 beside it")
    if fault.how not in ALLOWED_HOWS.get(what, ("",)):
        expected = " or ".join(repr(how) for how in ALLOWED_HOWS.get(what, ("",)))
        errors.append(f"how: found {fault.how!r}, expected {expected} for {what}")
    if what in COUNTER_FAULTS and what != "counter_split":
        return errors
    kind = "h" if what in HOST_FAULTS else "g"
    errors += _selector_errors("who", fault.who, kind, scenario, targets_by_name, index)
    if what in PEER_FAULTS or (what in LINK_FAULTS and _links_gateways(fault, targets_by_name)):
        errors += _selector_errors("other", fault.other, "g", scenario, targets_by_name, index)
        if what in CONNECTION_ONLY_FAULTS:
            errors.append(f"other: found {fault.other!r}, expected hosts, counter or discovery for {what}")
        if not scenario.fleet.peers:
            errors.append("what: found a fault between gateways, expected fleet.peers = true beside it")
        if what in PEER_FAULTS and fault.value > 1:
            errors.append(f"value: found {fault.value}, expected a share, 1 at most, for {what}")
    elif what in LINK_FAULTS and fault.other not in ("counter", "discovery"):
        errors += _selector_errors("other", fault.other, "h", scenario, targets_by_name, index)
    if fault.name:
        targets_by_name[fault.name] = [] if errors else _resolve(fault.who, scenario, targets_by_name, index)
    return errors


def _links_gateways(fault: Fault, targets_by_name: dict[str, list[str]]) -> bool:
    """Whether the other ends of a link are gateways."""
    if fault.other.startswith("@"):
        return any(name.startswith("g") for name in targets_by_name.get(fault.other[1:], []))
    return "gateway" in fault.other


def _selector_errors(
    field: str, text: str, kind: str, scenario: Scenario, targets_by_name: dict[str, list[str]], index: int
) -> list[str]:
    """Return the errors of a selector that must select gateways (`kind` is `g`) or hosts (`h`)."""
    targets = "gateways" if kind == "g" else "hosts"
    if SELECTOR.fullmatch(text) is None:
        expected = "gateway:N or :*" if kind == "g" else "host:hN or :*, zone:Z"
        return [f"{field}: found {text!r}, expected {expected}, N% of {targets}, {targets} in Z, or @name"]
    if text.startswith("@") and text[1:] not in targets_by_name:
        return [f"{field}: found {text!r}, expected the name of an earlier fault"]
    zone = re.fullmatch(r"(?:zone:|\w+ in )(\w+)", text)
    if zone is not None and zone[1] not in scenario.fleet.zones:
        return [f"{field}: found zone {zone[1]!r}, expected one of {', '.join(scenario.fleet.zones)}"]
    found = _resolve(text, scenario, targets_by_name, index)
    if not found and not text.startswith("@"):
        return [f"{field}: found {text!r}, which is nobody in this fleet, expected {targets}"]
    if found and not found[0].startswith(kind):
        return [f"{field}: found {text!r}, expected {targets}"]
    return []


def load(path: Path) -> Scenario:
    """Read a scenario from its file.

    Raises:
        ScenarioError: the file can't be read or is no valid scenario; the message has all its errors.
    """
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
    """Estimate the processes, the megabytes and the descriptors in one process that a run needs."""
    fleet = scenario.fleet
    links = fleet.gateways * (fleet.hosts + 2)
    return fleet.gateways + 3, SPARE_MB + PROCESS_MB * fleet.gateways, 3 * links + PROCESS_FILES


def resource_shortages(scenario: Scenario, memory_mb: int, files: int) -> list[str]:
    """Return the resources that this machine lacks for a run; empty if it has enough.

    Args:
        scenario: the scenario to run.
        memory_mb: free memory.
        files: descriptors that one process may open.
    """
    _, megabytes, descriptors = resource_needs(scenario)
    shortages = []
    if megabytes > memory_mb:
        shortages.append(f"memory: {megabytes} MB are needed, {memory_mb} MB are free")
    if descriptors > files:
        shortages.append(f"descriptors: {descriptors} are needed in one process, {files} are allowed")
    return shortages


def free_mb() -> int:
    """Return the machine's free memory in MB."""
    return os.sysconf("SC_AVPHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") >> 20


# --- Criteria ---


def slack(burst: float) -> float:
    """Return a ceiling's slack in units: a tenth of its burst, at least one request of the largest size."""
    return max(0.1 * burst, float(MAX_REQUEST_UNITS))


def criteria(scenario: Scenario) -> Criteria:
    """Return the criteria by which a scenario's record is judged."""
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


# --- The schedule: time and target of each fault, drawn from the seed ---


class ScheduledFault(_Model):
    """One fault at one target."""

    at_ms: float
    target: str  # a gateway (`g3`) or a host (`h3`), `counter`, or `g3>h5` for a link
    fault: Fault


def zone_of(number: int, zones: tuple[str, ...]) -> str:
    """The zone of a gateway or host, by its number."""
    return zones[number % len(zones)]


def _resolve(text: str, scenario: Scenario, targets_by_name: dict[str, list[str]], index: int) -> list[str]:
    fleet = scenario.fleet
    gateways = [f"g{i}" for i in range(fleet.gateways)]
    hosts = [f"h{i}" for i in range(fleet.hosts)]
    if text in ("counter", "discovery"):
        return [text]
    if text.startswith("@"):
        return targets_by_name[text[1:]]
    if found := re.fullmatch(r"(\d+)% of (gateways|hosts)", text):
        candidates = gateways if found[2] == "gateways" else hosts
        count = round(len(candidates) * int(found[1]) / 100)
        return [
            candidates[i]
            for i in sorted(generator(scenario.seed, f"fault.{index}").permutation(len(candidates))[:count])
        ]
    kind, _, rest = text.partition(":")
    if kind == "zone":
        return [h for i, h in enumerate(hosts) if zone_of(i, fleet.zones) == rest]
    if found := re.fullmatch(r"(gateways|hosts) in (\w+)", text):
        candidates = gateways if found[1] == "gateways" else hosts
        return [x for i, x in enumerate(candidates) if zone_of(i, fleet.zones) == found[2]]
    if kind == "gateway":
        return gateways if rest == "*" else [g for g in gateways if g == f"g{rest}"]
    return hosts if rest == "*" else [h for h in hosts if h == rest]


def schedule(scenario: Scenario) -> list[ScheduledFault]:
    """Return every fault at every target, sorted by time; always the same for a scenario and its seed."""
    targets_by_name: dict[str, list[str]] = {}
    scheduled = []
    for index, fault in enumerate(scenario.faults):
        if fault.what in COUNTER_FAULTS and fault.what != "counter_split":
            targets = ["counter"]
        else:
            targets = _resolve(fault.who, scenario, targets_by_name, index)
            if fault.name:
                targets_by_name[fault.name] = targets
            if fault.what in ("counter_split", "swap"):
                targets = [",".join(targets)]
            elif fault.what in (*LINK_FAULTS, *PEER_FAULTS):
                others = _resolve(fault.other, scenario, targets_by_name, index)
                targets = [f"{a}>{b}" for a in targets for b in others if a != b]
        step = 1000 * fault.over_s / max(len(targets), 1)
        scheduled += [
            ScheduledFault(at_ms=1000 * fault.at_s + i * step, target=t, fault=fault)
            for i, t in enumerate(targets)
        ]
    return sorted(scheduled, key=lambda s: s.at_ms)
