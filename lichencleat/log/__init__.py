"""Structured logs of the program's processes, and the merge of many logs by time.

`structured` creates loggers that write one event with its fields per line and limit the rate of each event.
`merge` orders the lines of many processes.
"""
