"""The only place that reads configuration: the platform's JSON, and the operators' file."""

from glenfold.config.platform import (
    Address,
    Config,
    ConfigError,
    Names,
    Room,
    read_address,
    read_again,
    read_config,
    written,
)

__all__ = [
    "Address",
    "Config",
    "ConfigError",
    "Names",
    "Room",
    "read_address",
    "read_again",
    "read_config",
    "written",
]
