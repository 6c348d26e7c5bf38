"""The transport that processes of a fleet use on connections to each other.

It consists of length-prefixed frames, greetings that identify the caller and the cluster, requests with one
response each, and a client that finds the leader of a group. It does not depend on what a group decides, nor
on its consensus protocol.
"""
