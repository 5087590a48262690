"""What tests share: a driver of the decisions, simulations, scripted servers and the real program."""
