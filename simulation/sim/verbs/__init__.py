"""The verbs of scenarios, by whom they concern."""
