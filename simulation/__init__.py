"""Development only: test doubles, simulators, fleet runners and checkers. Not part of the product."""
