"""Structured logs of the program's processes, and the merge of many logs into one order.

`structured` creates loggers that write one event a line with its fields and limit the rate of each event;
`merge` orders the lines that many processes wrote.
"""
