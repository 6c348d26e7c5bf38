"""A real node on sockets round the decisions: each file has one job, and none of them decides."""
