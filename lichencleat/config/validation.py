"""Checks for values that have the right form but are out of range or contradict each other."""

from __future__ import annotations

from lichencleat.config.addresses import is_valid_address
from lichencleat.config.document import YamlDocument
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config.schema import MAX_RELAY_ADDRESSES, FlowExportConfig, NodeConfig


def validate_node_config(path: str, document: YamlDocument, config: NodeConfig) -> None:
    """Checks the settings of a node that have the right form.

    Raises:
        InvalidConfigError: a value is out of range or contradicts another one.
    """
    if config.distribution is not None:
        check_relay_tiers(path, document, config.distribution.sources)
    if config.flows is not None:
        _check_flow_export(path, document, config.flows)


def _check_flow_export(path: str, document: YamlDocument, flows: FlowExportConfig) -> None:
    if flows.idle_s > flows.active_s:
        line = document.line_of("$.flows.idle_s") or document.line_of("$.flows.active_s")
        problem = (
            f"flows.idle_s: {flows.idle_s:g} is greater than active_s ({flows.active_s:g}); "
            "idle flows must not be exported later than active ones, so decrease it"
        )
        raise InvalidConfigError.at(path, line, problem)
    for index, collector in enumerate(flows.collectors):
        setting = f"flows.collectors[{index}].address"
        check_address(path, document, setting, collector.address, "192.0.2.7:4739")


def check_address(path: str, document: YamlDocument, setting: str, address: str, example: str) -> None:
    """Checks that the parts of an address are in range; `setting` is the path of the setting without `$.`.

    Raises:
        InvalidConfigError: the port or an octet is out of range.
    """
    if not is_valid_address(address):
        problem = (
            f"{setting}: {address} is not a valid address; write it as {example} (names are not resolved)"
        )
        raise InvalidConfigError.at(path, document.line_of(f"$.{setting}"), problem)


def check_relay_tiers(path: str, document: YamlDocument, tiers: list[list[str]], listen: str = "") -> None:
    """Checks `distribution.sources`; `listen` is the process's own address, which must not be a source.

    Raises:
        InvalidConfigError: an address is out of range, occurs twice or is `listen`, or there are too many
            addresses.
    """
    seen = {listen}
    for tier, addresses in enumerate(tiers):
        for index, address in enumerate(addresses):
            setting = f"distribution.sources[{tier}][{index}]"
            check_address(path, document, setting, address, "192.0.2.7:7901")
            if address in seen:
                reason = "is the address of this process" if address == listen else "is listed twice"
                line = document.line_of(f"$.{setting}")
                raise InvalidConfigError.at(path, line, f"{setting}: {address} {reason}; remove it")
            seen.add(address)
    count = len(seen) - 1
    if count > MAX_RELAY_ADDRESSES:
        problem = (
            f"distribution.sources: {count} addresses, but at most {MAX_RELAY_ADDRESSES} "
            "are allowed; two per tier are enough"
        )
        raise InvalidConfigError.at(path, document.line_of("$.distribution.sources"), problem)
