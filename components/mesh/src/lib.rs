//! Transport between the system's own processes over TCP and UDP.
