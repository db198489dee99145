//! Plug-in registry, shared tables, clock and stop order.
