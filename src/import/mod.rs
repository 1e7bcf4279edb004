//! Importers that convert the configuration of another proxy to an operator's file.

pub mod haproxy;
