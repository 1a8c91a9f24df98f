#!/usr/bin/env python3
"""Lays variants of the operators' site beside this file, to try the program with settings of other customers.

Each variant is the site of the operators' kit with figures of our own put over it: other names, shares, limits,
deadlines and costs, and a class that may not simply be repeated. What the benches want beside a site (names on the
sockets, the wire, the troubles unlocked) is laid beside them. Nothing of the kit is kept in the repository.
"""

import shutil
import sys
import tomllib
from pathlib import Path

HERE = Path(__file__).resolve().parent
KIT = HERE.parents[2] / "given" / "kit"
SITES = KIT / "sites"
BASE = SITES / "muscat-loans.toml"
BESIDE = [SITES / "real.json", SITES / "wire.json", SITES / "design.json", KIT / "unlock.txt"]

# A bureau with two halls: look-ups, and pledges that a hall takes once for each key, for 0.9 s.
KEYED = {
    "name": "salalah-pledges",
    "wire": "wire.json",
    "load": {"quiet": [0.3, 0.45], "trouble": [0.42, 0.55]},
    "net": {"zones": ["upper-hall", "lower-hall"]},
    "clients": {"marks_retry": True, "backoff_ms": [20, 150]},
    "allow": {"max_attempts": 4},
    "rules": {"drain_grace_ms": 700, "fall_multiple": 3, "fall_ms": 1200},
    "goal": {"whole": 0.45, "worst_window": 0.2, "worst_class": 0.15, "worst_tenant": 0.2},
    "prices": {"cross_zone": 0.003, "waste": 0.03, "late_fail": 0.04},
    "class": [
        {"name": "balance", "share": 0.55, "work_ms": [40, 70], "aim_ms": 500, "deadline_ms": 1800, "worth": 1},
        {
            "name": "pledge",
            "share": 0.45,
            "work_ms": [55, 95],
            "aim_ms": 800,
            "deadline_ms": 2200,
            "worth": 3,
            "effect": "keyed",
            "group": "zone",
            "window_ms": 900,
        },
    ],
    "tenant": [
        {"name": "branch", "share": 0.4, "usage": [0.8, 1.2]},
        {"name": "bank", "share": 0.6, "usage": [0.8, 1.2]},
    ],
    "fam": {"most_units": 5, "counter_timeout_ms": 60, "counter_price": 0.015},
    "fam.plan": [
        {"rate": [2.0, 3.2], "burst_s": [2.5, 4.5], "price": 1.0, "over_worth": 0, "over_cost": 0.7, "spread": [0.5, 1],
         "ceiling": [2, 3]},
        {"rate": [15, 26], "burst_s": [1.6, 3.0], "price": 1.6, "over_worth": 0, "over_cost": 0.9, "spread": [0.5, 1]},
    ],
}

# A clearing house: payments that may run once only, and statements that hurry less.
UNSAFE = {
    "name": "nizwa-clearing",
    "wire": "wire.json",
    "load": {"quiet": [0.33, 0.48], "trouble": [0.44, 0.57]},
    "allow": {"max_attempts": 3, "second_copies": True},
    "rules": {"drain_grace_ms": 600, "fall_multiple": 5, "fall_ms": 1000},
    "goal": {"whole": 0.5, "worst_window": 0.2, "worst_class": 0.15, "worst_tenant": 0.15},
    "prices": {"waste": 0.025, "late_fail": 0.06},
    "class": [
        {"name": "statement", "share": 0.5, "work_ms": [60, 100], "aim_ms": 900, "deadline_ms": 3000, "worth": 1},
        {"name": "payment", "share": 0.3, "work_ms": [30, 60], "aim_ms": 400, "deadline_ms": 1400, "worth": 4,
         "effect": "unsafe"},
        {"name": "hold", "share": 0.2, "work_ms": [35, 60], "aim_ms": 600, "deadline_ms": 2000, "worth": 2,
         "effect": "keyed", "group": "all", "window_ms": 700},
    ],
    "tenant": [
        {"name": "till", "share": 0.25, "usage": [0.8, 1.2]},
        {"name": "shop", "share": 0.35, "usage": [0.8, 1.2]},
        {"name": "chain", "share": 0.4, "usage": [0.8, 1.2]},
    ],
    "fam": {"most_units": 6, "slack": 0.15, "counter_per_s": [1100, 1500], "counter_price": 0.01},
    "fam.plan": [
        {"rate": [1.5, 2.6], "burst_s": [3.5, 5.5], "price": 0.8, "over_worth": 0, "over_cost": 0.5, "spread": [0.5, 1]},
        {"rate": [6, 11], "burst_s": [2.2, 4.0], "price": 1.1, "over_worth": 0, "over_cost": 1.0, "spread": [0.5, 1]},
        {"rate": [18, 30], "burst_s": [1.5, 2.5], "price": 1.5, "over_worth": 0, "over_cost": 0.8, "spread": [0.5, 1],
         "ceiling": [1.7, 2.2]},
    ],
}


def laid_over(base, over):
    """The base with a variant's figures in the place of its own; lists of tables take what they lack from the base's first."""
    out = dict(base)
    for key, value in over.items():
        if isinstance(value, dict):
            out[key] = laid_over(base.get(key, {}), value)
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            like = base[key][0] if key == "class" else {}
            out[key] = [{**like, **entry} for entry in value]
        else:
            out[key] = value
    return out


def written(value):
    """A plain value in TOML."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return "[" + ", ".join(written(each) for each in value) + "]"
    if isinstance(value, str):
        return '"' + value + '"'
    return repr(value)


def tables(name, table, many=False):
    """A table in TOML, its plain values first."""
    if name:
        yield f"\n[[{name}]]" if many else f"\n[{name}]"
    deeper = []
    for key, value in table.items():
        if isinstance(value, dict) or (isinstance(value, list) and value and isinstance(value[0], dict)):
            deeper.append((key, value))
        else:
            yield f"{key} = {written(value)}"
    for key, value in deeper:
        path = f"{name}.{key}" if name else key
        for each in value if isinstance(value, list) else [value]:
            yield from tables(path, each, isinstance(value, list))


def main():
    missing = [str(path) for path in [BASE, *BESIDE] if not path.is_file()]
    if missing:
        sys.exit("make sites: the operators' kit is not here, nothing was laid; missing: " + ", ".join(missing))
    base = tomllib.loads(BASE.read_text())
    base.pop("stock", None)
    for variant in (KEYED, UNSAFE):
        over = dict(variant)
        plans = over.pop("fam.plan")
        site = laid_over(base, over)
        site["fam"]["plan"] = plans
        path = HERE / f"{site['name']}.toml"
        path.write_text("\n".join(tables("", site)) + "\n")
        print(f"make sites: {path.name}")
    for path in BESIDE:
        shutil.copyfile(path, HERE / path.name)


if __name__ == "__main__":
    main()
