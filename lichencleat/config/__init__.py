"""The operator's YAML file for the subsystems that are off by default, validated before use.

The package reads the file and passes plain values to the subsystems. It reports a mistake with its line, its
path and the correction. An unknown key is a mistake, and no part of a file with a mistake is used. A node
without such a file does not import this package.

`schema` holds the types of the settings, `loading` reads and decodes a file, `validation` checks values
against each other, `document` finds the line of a setting, `listing` lists the effective settings.
"""
