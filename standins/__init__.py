"""Stand-ins, simulations and checks for the tests of both daemons."""
