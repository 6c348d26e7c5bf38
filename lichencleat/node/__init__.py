"""A node on sockets: drives the admission controller, which makes all decisions."""
