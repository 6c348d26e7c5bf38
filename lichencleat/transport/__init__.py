"""What processes of a fleet share on their connections to one another.

Length-prefixed frames, greetings that name the caller and the cluster, requests with one response each, and
a client that finds the leader of a group. Nothing here knows what a group decides on or how.
"""
