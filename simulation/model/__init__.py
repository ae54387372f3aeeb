"""A model checker that runs the product's own voters, proposers and copying in every interleaving within bounds."""
