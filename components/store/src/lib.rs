//! Log and snapshot files with checksums and recovery.
