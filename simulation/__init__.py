"""Development only: stand-ins, simulator, fleet runner and checker. Not part of the product."""
