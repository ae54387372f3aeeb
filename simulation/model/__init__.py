"""An explorer of interleavings: the product's own voters, proposers and copying, in every order within bounds."""
