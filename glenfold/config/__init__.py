"""Reads all configuration: the platform's JSON, the operators' file and the file of a control replica."""

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
