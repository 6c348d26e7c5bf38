"""What the operators chose for the subsystems that are off by default: one YAML file of their own, checked
before use.

Its job: to read the file, say what is wrong with it by line, path and what would be right, and hand plain
values to the subsystems. It promises that an unknown key is a mistake and that a file with one is used in no
part. Not imported by a node that is told of no such file.
"""
