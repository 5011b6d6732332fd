"""The only place that reads configuration: the platform's JSON, and the operators' file."""

from glenfold.config.platform import (
    Address,
    Config,
    ConfigError,
    ConnectionLimits,
    Names,
    format_address,
    read_address,
    read_again,
    read_config,
)

__all__ = [
    "Address",
    "Config",
    "ConfigError",
    "Names",
    "ConnectionLimits",
    "read_address",
    "read_again",
    "read_config",
    "format_address",
]
