"""Admission and scheduling for servers behind others' balancers."""
