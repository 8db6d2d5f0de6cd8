"""Storage of records and snapshots in the data folder."""
