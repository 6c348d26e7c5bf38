"""Logs of the program's processes: one event a line with its fields, limited by kind, and put in order
afterwards.

`lines.py` sets structlog up; `merge.py` reads what many processes wrote. Decides nothing but which lines are
left out.
"""
