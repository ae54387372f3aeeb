"""Validation of a configuration on a thread beside the owner's."""

from __future__ import annotations

import traceback

from sailward.config.check import Fault, InvalidConfig, ValidConfig, check_config
from sailward.events import ConfigValidated, ValidateConfig
from sailward.routing.plan import plan_of
from sailward.runtime.logs import write_log


def validate_config(*, command: ValidateConfig) -> ConfigValidated:
    """Check a configuration, and that daemons can load it. Never raises: one that can't be checked is rejected."""
    verdict: ValidConfig | InvalidConfig
    try:
        verdict = check_config(config=command.config)
        if isinstance(verdict, ValidConfig):
            plan_of(full=verdict.full, number=1)
    except Exception as fault:  # noqa: BLE001 - external input of any shape
        write_log(event="check-fault", fields={"trace": traceback.format_exc()}, level="error")
        verdict = InvalidConfig(faults=(Fault(path="", reason=f"can't be checked: {fault}"),))
    return ConfigValidated(token=command.token, verdict=verdict)
