"""Checked JSON description of a stand-in's fleet."""

from collections.abc import Iterator
from copy import deepcopy
from pathlib import Path
from typing import Any, NamedTuple

from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code
from hyssopweir.fleet import DataCentre, NetworkLink, Worker
from hyssopweir.schemas import Fault, load_schema, read_json_file, schema_faults
from hyssopweir.settings import Address

MOST_PORT = 65_535


class ServiceKind(NamedTuple):
    """Describe a service that the workers run."""

    run_ms: Millis
    idempotent: bool


class Fleet(NamedTuple):
    """Hold a fleet file, defaults filled in."""

    name: str
    platform: Address
    platform_control: Address
    workers_control: Address
    list_lag_ms: Millis
    services: dict[str, ServiceKind]
    data_centres: tuple[DataCentre, ...]
    workers: tuple[Worker, ...]


def fleet_schema() -> dict[str, Any]:
    """Return the JSON schema of a fleet file."""
    return load_schema("fleet")


def load_fleet(path: Path) -> Result[Fleet, list[Fault]]:
    """Read and check a fleet file; the error lists every fault."""
    return read_json_file(path).and_then(check_fleet)


def check_fleet(data: Any) -> Result[Fleet, list[Fault]]:
    """Check a fleet and fill in defaults; the error lists every fault."""
    schema = fleet_schema()
    faults = schema_faults(schema, data, Code.SETTINGS_INVALID)
    if faults:
        return Err(faults)
    filled = _with_defaults(schema, data)
    faults = [*_name_faults(filled), *_port_faults(filled)]
    return Err(faults) if faults else Ok(_fleet(filled))


def _with_defaults(schema: dict[str, Any], data: dict[str, Any]) -> dict[str, Any]:
    part = schema["$defs"]["data_centre"]
    centres = [{**_defaults(part), **centre} for centre in data["data_centres"]]
    return {**_defaults(schema), **data, "data_centres": centres}


def _defaults(part: dict[str, Any]) -> dict[str, Any]:
    return {
        name: deepcopy(prop["default"])
        for name, prop in part["properties"].items()
        if "default" in prop
    }


def _name_faults(data: dict[str, Any]) -> Iterator[Fault]:
    names = [centre["name"] for centre in data["data_centres"]]
    for index, centre in enumerate(data["data_centres"]):
        path = f"$.data_centres[{index}]"
        if centre["name"] in names[:index]:
            yield _fault(f"{path}.name", "two data centres have this name")
        for target in centre["links"]:
            if target not in names or target == centre["name"]:
                yield _fault(f"{path}.links.{target}", "no other data centre")


def _port_faults(data: dict[str, Any]) -> Iterator[Fault]:
    used: dict[tuple[str, int], str] = {}
    for path, host, ports in _port_ranges(data):
        if ports.stop - 1 > MOST_PORT:
            yield _fault(path, f"the last port would be {ports.stop - 1}")
            continue
        taken = [used[host, port] for port in ports if (host, port) in used]
        if taken:
            yield _fault(path, f"a port is already used by {taken[0]}")
        used.update({(host, port): path for port in ports})


def _port_ranges(data: dict[str, Any]) -> Iterator[tuple[str, str, range]]:
    for name in ("platform", "platform_control", "workers_control"):
        port = data[name]["port"]
        yield f"$.{name}.port", data[name]["host"], range(port, port + (port > 0))
    for index, centre in enumerate(data["data_centres"]):
        first = centre["first_port"]
        ports = range(first, first + (centre["workers"] if first else 0))
        yield f"$.data_centres[{index}].first_port", centre["host"], ports


def _fault(path: str, detail: str) -> Fault:
    return Fault(Code.SETTINGS_INVALID, path, detail)


def _fleet(data: dict[str, Any]) -> Fleet:
    return Fleet(
        data["name"],
        data["platform"],
        data["platform_control"],
        data["workers_control"],
        data["list_lag_ms"],
        {
            name: ServiceKind(kind["run_ms"], kind.get("idempotent", True))
            for name, kind in data["services"].items()
        },
        tuple(_data_centre(centre) for centre in data["data_centres"]),
        tuple(
            _worker(centre, number)
            for centre in data["data_centres"]
            for number in range(centre["workers"])
        ),
    )


def _data_centre(centre: dict[str, Any]) -> DataCentre:
    links = tuple(
        NetworkLink(centre["name"], target, link["one_way_ms"], link.get("cost", 1.0))
        for target, link in centre["links"].items()
    )
    return DataCentre(centre["name"], links)


def _worker(centre: dict[str, Any], number: int) -> Worker:
    first = centre["first_port"]
    return Worker(
        f"{centre['name']}-w{number}",
        centre["host"],
        first + number if first else 0,
        centre["name"],
        f"r{number // centre['rack_size']}",
        float(centre["cores"]),
        float(centre["memory_gb"]),
        centre["accelerators"],
        centre["slots"],
        centre["connections"],
    )
