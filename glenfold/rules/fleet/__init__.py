"""Decisions of the supervisor of a fleet of relays on one machine, without I/O.

`fleet.Fleet` takes one input at a time and returns the effects that the supervisor has to carry out.

    due -> not ready <-> ready        an unrequested exit leads back to due, with a growing delay, or to held
     ^         |           |          a roll: ready -> stopping -> due -> not ready -> ready, or a successor
     '---- stopping <------'          is started that takes over while the old process continues to serve

- `options`: the settings of the fleet.
- `state`: the state that has to survive the supervisor.
- `inputs`, `effects`: the input and output messages.
- `fleet`: the entry point, which dispatches inputs and commands.
- `context`: the objects that the parts of one fleet share.
- `lifecycle`: transitions of a single instance.
- `recovery`: reconciliation of the saved state with the processes found by a new supervisor.
- `roll`, `roll_progress`: the rolling restart as a record, and its steps.

Times are in seconds on the clock of the `now` arguments.
"""
