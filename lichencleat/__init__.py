"""Admission control, scheduling and fleet coordination for servers behind others' load balancers."""
