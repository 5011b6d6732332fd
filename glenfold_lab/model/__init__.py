"""A discrete-event model of the whole system in virtual time; one seed gives one history."""
