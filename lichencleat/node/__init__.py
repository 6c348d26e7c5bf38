"""The process of one node: its sockets and timers, around the admission controller that decides."""
